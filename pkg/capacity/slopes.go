package capacity

import (
	"encoding/json"
	"expvar"
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/sirupsen/logrus"
	"gonum.org/v1/gonum/stat"

	"quaydock/pkg/balance"
	"quaydock/pkg/clock"
	"quaydock/pkg/control"
	"quaydock/pkg/declaration"
	"quaydock/pkg/gate"
	"quaydock/pkg/ids"
	"quaydock/pkg/invariant"
)

// Point is one measurement: the cost at one size.
type Point struct {
	Size float64
	Cost float64
}

// Slope is a straight line fitted to points by least squares.
type Slope struct {
	Name   string
	Unit   string // of costs
	Points []Point
	// The line is cost = Base + PerUnit × size. RSquared is its coefficient of determination.
	Base, PerUnit, RSquared float64
}

// At returns the cost at a size according to the line.
func (s Slope) At(size float64) float64 { return s.Base + s.PerUnit*size }

// fitLine returns the slope through points, of which there must be two or more of different sizes.
func fitLine(name, unit string, points []Point) Slope {
	var sizes, costs []float64
	for _, p := range points {
		sizes = append(sizes, p.Size)
		costs = append(costs, p.Cost)
	}
	base, each := stat.LinearRegression(sizes, costs, nil, false)
	return Slope{
		Name: name, Unit: unit, Points: points, Base: base, PerUnit: each,
		RSquared: stat.RSquared(sizes, costs, nil, base, each),
	}
}

// sweep measures the cost at each size, in the given unit, and fits a line.
func sweep(name, unit string, sizes []int, cost func(size int) float64) Slope {
	var points []Point
	for _, n := range sizes {
		points = append(points, Point{Size: float64(n), Cost: cost(n)})
	}
	return fitLine(name, unit, points)
}

// nanoseconds returns the mean time of one operation, in nanoseconds.
func nanoseconds(operation func()) float64 {
	r := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			operation()
		}
	})
	return float64(r.T.Nanoseconds()) / float64(r.N)
}

// liveBytes returns by how many bytes build grows the live heap. The result of build stays reachable until the
// measurement is over. Two collections each time free what sync.Pool keeps over one.
func liveBytes(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	built := build()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(built)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// chooseSlope measures the time to order candidate targets, of which two are to be queried, by their number.
func chooseSlope() Slope {
	random := rand.New(rand.NewPCG(1, 1))
	return sweep("ordering candidate targets (`balance.Order`)", "ns", []int{1, 10, 100, 1000, 4000}, func(n int) float64 {
		candidates := make([]balance.Candidate, n)
		for i := range candidates {
			candidates[i].Load.Queued = []ids.Tokens{ids.Tokens(random.IntN(1000))}
		}
		return nanoseconds(func() { balance.Order(random, balance.Job{Work: 100}, candidates, 2) })
	})
}

// service is the service of all tickets.
const service ids.Service = "m"

// newGate returns a gate with one slot, whose limits neither decline a ticket nor forget a grant while it is measured.
func newGate() *gate.Gate {
	log := logrus.New()
	log.SetOutput(io.Discard)
	check := invariant.NewChecker(logrus.NewEntry(log), new(expvar.Map).Init(), false)
	g := gate.New(1, gate.Limits{QueueTime: clock.Minute, QueueMin: 1 << 40, GrantLifetime: clock.Minute, FloorHold: clock.Second, FateRetention: clock.Minute}, check)
	g.SetServices([]ids.Service{service}, 1)
	return g
}

// ticketNumber returns the i-th ticket. Accounts and tiers take turns in the numbers of RequiredSize.
func ticketNumber(i int) control.Ticket {
	return control.Ticket{
		Request: ids.Request(fmt.Sprintf("%032d", i)), Service: service,
		Account: ids.Account(fmt.Sprintf("account-%d", i%260)), Tier: ids.TierRank(i % 4), Decode: 100, Remaining: clock.Minute,
	}
}

// fill places n tickets, of which the first is granted and the others wait.
func fill(g *gate.Gate, n int) {
	for i := range n {
		g.Place(0, 1, ticketNumber(i))
	}
}

// decideSlope measures the time to place and withdraw a ticket, by the number of tickets that wait meanwhile.
func decideSlope() Slope {
	return sweep("deciding on a ticket (`gate.Place`, `Withdraw`) while tickets wait", "ns", []int{1, 100, 1000, 10_000}, func(n int) float64 {
		g := newGate()
		fill(g, n)
		t := ticketNumber(n + 1)
		return nanoseconds(func() {
			g.Place(0, 1, t)
			g.Withdraw(0, 1, t.Request)
		})
	})
}

// ticketSlope measures the memory of waiting tickets at an agent.
func ticketSlope() Slope {
	return sweep("memory of tickets waiting at an agent", "bytes", []int{1000, 4000, 16_000}, func(n int) float64 {
		return liveBytes(func() any {
			g := newGate()
			fill(g, n)
			return g
		})
	})
}

// fateSlope measures the memory of retained grant outcomes at an agent.
func fateSlope() Slope {
	return sweep("memory of fates of grants at an agent", "bytes", []int{1000, 4000, 16_000}, func(n int) float64 {
		return liveBytes(func() any {
			g := newGate()
			for i := range n {
				t := ticketNumber(i)
				v := g.Place(0, 1, t)
				g.Use(0, v.Grant, t.Request)
				g.Finish(0, v.Grant, true)
			}
			return g
		})
	})
}

// declarationSet returns declarations with n targets, and with accounts and models in the proportions of
// RequiredSize.
func declarationSet(n int) declaration.Set {
	set := declaration.Set{}
	for i := range 4 {
		set.Tiers = append(set.Tiers, declaration.Tier{Name: ids.Tier(fmt.Sprint("tier-", i)), DeadlineMS: clock.Minute})
	}
	for i := range max(1, n*260/3600) {
		set.Accounts = append(set.Accounts, declaration.Account{
			Name: ids.Account(fmt.Sprint("account-", i)), KeyHashes: []string{fmt.Sprintf("%064x", i)},
			HighestTier: "tier-0", DefaultTier: "tier-2",
		})
	}
	models := max(1, n*32/3600)
	for i := range models {
		set.Services = append(set.Services, declaration.Service{Name: ids.Service(fmt.Sprint("model-", i)), Kind: declaration.ServiceModel})
	}
	for i := range n {
		name := ids.Target(fmt.Sprint("target-", i))
		address := fmt.Sprintf("10.%d.%d.%d", i>>16, i>>8&255, i&255)
		set.Targets = append(set.Targets, declaration.Target{
			Name: name, Address: "http://" + address + ":8000", AgentControl: address + ":81", AgentData: address + ":82",
			FailureDomain: "domain", HardwareGeneration: 1, Slots: 64,
		})
		model := ids.Service(fmt.Sprint("model-", i%models))
		set.Placements = append(set.Placements, declaration.Placement{Service: model, Target: name, Model: string(model), Version: "1"})
	}
	return set
}

// indexSizes are the numbers of targets at which configurations are measured.
var indexSizes = []int{100, 400, 1600}

// mustIndex indexes a set made by declarationSet.
func mustIndex(set declaration.Set) *declaration.Index {
	index, err := declaration.NewIndex(1, set)
	if err != nil {
		panic(err) // sets made by declarationSet are valid
	}
	return index
}

// indexMemorySlope measures the memory of an indexed configuration, by targets.
func indexMemorySlope() Slope {
	return sweep("memory of a configuration, by targets", "bytes", indexSizes, func(n int) float64 {
		return liveBytes(func() any { return mustIndex(declarationSet(n)) })
	})
}

// indexBytesSlope measures the size of a configuration as sent, by targets.
func indexBytesSlope() Slope {
	return sweep("bytes of a whole configuration as sent, by targets", "bytes", indexSizes, func(n int) float64 {
		document, err := json.Marshal(declarationSet(n))
		if err != nil {
			panic(err) // plain structs can always be marshalled
		}
		return float64(len(document))
	})
}

// changeBytes returns the size of the change of one target as sent.
func changeBytes() float64 {
	from, to := declarationSet(100), declarationSet(100)
	to.Targets[7].Slots++
	change := declaration.Diff(from, to)
	change.ID, change.Who, change.Why = string(ids.NewRequest()), "operator", "a reason in a few words"
	document, err := json.Marshal(change)
	if err != nil {
		panic(err) // plain structs can always be marshalled
	}
	return float64(len(document))
}

// indexTimeSlope measures the time to parse, validate and index a configuration, by targets.
func indexTimeSlope() Slope {
	return sweep("reading, checking and indexing a configuration, by targets", "ns", indexSizes, func(n int) float64 {
		document, err := json.Marshal(declarationSet(n))
		if err != nil {
			panic(err) // plain structs can always be marshalled
		}
		return nanoseconds(func() {
			var set declaration.Set
			if err := json.Unmarshal(document, &set); err != nil {
				panic(err) // the document has just been marshalled
			}
			mustIndex(set)
		})
	})
}
