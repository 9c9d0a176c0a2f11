package slowdown_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"quaydock/pkg/clock"
	"quaydock/pkg/slowdown"
)

const start = clock.Millis(1_000_000)

// TestReportsFadeWithAge guards against reports that are believed too long, and against values that no target can mean.
func TestReportsFadeWithAge(t *testing.T) {
	scenarios := []struct {
		name     string
		reported slowdown.Factor
		age      clock.Millis
		low      slowdown.Factor
		high     slowdown.Factor
	}{
		{"new", 2.5, 0, 2.5, 2.5},
		{"a little old", 2.5, 300, 1.3, 2},
		{"too old", 2.5, 2000, 1, 1},
		{"faster than usual", 0.5, 0, 0.5, 0.5},
		{"from later, as clocks are set back", 2.5, -500, 2.5, 2.5},
		{"not reported", 0, 0, 1, 1},
		{"negative", -3, 0, 1, 1},
		{"not a number", slowdown.Factor(math.NaN()), 0, 1, 1},
		{"infinite", slowdown.Factor(math.Inf(1)), 0, 5, 20},
		{"next to nothing", 1e-9, 0, 0.1, 0.5},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			var e slowdown.Estimate
			var p slowdown.Persistence
			e.Report(start, s.reported, &p)
			if got := e.Forecast(start + s.age).Now(); !(got >= s.low && got <= s.high) {
				t.Errorf("got %.2f, want %.2f to %.2f", got, s.low, s.high)
			}
		})
	}
}

// TestForecastsFollowHowLongReportsPersist guards against a fixed time for which reports are believed: targets that
// change every 100 ms and targets that change every 2 s.
func TestForecastsFollowHowLongReportsPersist(t *testing.T) {
	ahead := func(period int) slowdown.Factor {
		random := rand.New(rand.NewPCG(1, 1))
		var e slowdown.Estimate
		var p slowdown.Persistence
		value := slowdown.Usual
		for ms := range 60_000 {
			if ms%period == 0 {
				value = slowdown.Usual
				if random.Float64() < 0.15 {
					value = 2.5
				}
			}
			if ms%25 == 0 {
				e.Report(start+clock.Millis(ms), value, &p)
			}
		}
		e.Report(start+60_000, 2.5, &p)
		return e.Forecast(start + 60_200).Now()
	}
	short, long := ahead(100), ahead(2000)
	if short > 1.5 || long < 2 {
		t.Errorf("200 ms after a report of 2.5: %.2f where reports persist for 100 ms, %.2f where for 2 s", short, long)
	}
}

// TestMeanAndForecastAgree guards against observations that are divided by another slowness than they were expected with.
func TestMeanAndForecastAgree(t *testing.T) {
	var e slowdown.Estimate
	var p slowdown.Persistence
	e.Report(start, 2.5, &p)
	for _, length := range []clock.Millis{1, 100, 1000} {
		expected := e.Forecast(start).Over(float64(length))
		mean := slowdown.MeanOver(e.Total(start), e.Total(start+length), length)
		if math.Abs(float64(expected-mean)) > 0.01 {
			t.Errorf("over %d ms: forecast %.3f, mean %.3f", length, expected, mean)
		}
	}
	if got := slowdown.MeanOver(0, 0, 0); got != slowdown.Usual {
		t.Errorf("mean over no time is %.2f", got)
	}
}

// TestLongRunsMeetSlownessThatIsYetToCome guards against long answers that are expected to end too early, on targets that
// work as usual now and are slowed for a part of the time.
func TestLongRunsMeetSlownessThatIsYetToCome(t *testing.T) {
	var p slowdown.Persistence
	targets := make([]slowdown.Estimate, 20)
	random := rand.New(rand.NewPCG(1, 1))
	now := start
	for range 100 { // changes of 600 ms, with 15 in 100 slowed to 2.5: a mean of 1.225
		values := make([]slowdown.Factor, len(targets))
		for i := range values {
			values[i] = slowdown.Usual
			if random.Float64() < 0.15 {
				values[i] = 2.5
			}
		}
		for range 10 {
			now += 60
			for i := range targets {
				targets[i].Report(now, values[i], &p)
			}
		}
	}
	targets[0].Report(now, slowdown.Usual, &p)
	forecast := targets[0].Forecast(now)
	if soon, late := forecast.Over(20), forecast.Over(10_000); soon > 1.05 || late < 1.15 || late > 1.3 {
		t.Errorf("expected %.2f over the next 20 ms and %.2f over the next 10 s", soon, late)
	}
	if got := targets[0].Forecast(now + 5000).Now(); got < 1.15 || got > 1.3 {
		t.Errorf("expected %.2f of a target without news", got)
	}
}

// TestLastingSpeedInReportsIsKept guards against targets that are believed to be about to become faster or slower, as
// their reports hold their lasting speed beside the passing slowness.
func TestLastingSpeedInReportsIsKept(t *testing.T) {
	var p slowdown.Persistence
	targets := make([]slowdown.Estimate, 2)
	now := start
	for range 200 {
		now += 50
		targets[0].Report(now, 0.6, &p)
		targets[1].Report(now, 1.7, &p)
	}
	for i, want := range []slowdown.Factor{0.6, 1.7} {
		f := targets[i].Forecast(now + 1000)
		if got := f.Over(10_000); math.Abs(float64(got-want)) > 0.1 || f.Slowed() {
			t.Errorf("expected %.2f of a target that always reports %.2f, slowed %t", got, want, f.Slowed())
		}
	}
}

// TestRunsBeforeFirstReportHaveUsualPace guards against observations that are divided by an arbitrary slowness, as the mean of
// all targets has changed while a target without reports ran a request.
func TestRunsBeforeFirstReportHaveUsualPace(t *testing.T) {
	var p slowdown.Persistence
	var silent, other slowdown.Estimate
	from := silent.Total(start)
	for i := range 100 {
		other.Report(start+clock.Millis(50*i), 2.5, &p)
	}
	if got := slowdown.MeanOver(from, silent.Total(start+5000), 5000); got != slowdown.Usual {
		t.Errorf("%.2f for a target without reports", got)
	}
	silent.Report(start+5000, 2.5, &p)
	if got := slowdown.MeanOver(from, silent.Total(start+5000), 5000); got != slowdown.Usual {
		t.Errorf("%.2f for a target at its first report", got)
	}
}

// TestSilentTargetIsNotJudgedByOthers guards against observations at a target without news that are divided by an
// arbitrary slowness, as others have reported meanwhile.
func TestSilentTargetIsNotJudgedByOthers(t *testing.T) {
	var p slowdown.Persistence
	var silent, other slowdown.Estimate
	silent.Report(start, slowdown.Usual, &p)
	from := start + 60_000
	total := silent.Total(from)
	for i := range 200 {
		other.Report(from+clock.Millis(i), []slowdown.Factor{1, 2.5}[i%2], &p)
	}
	if got := slowdown.MeanOver(total, silent.Total(from+200), 200); math.Abs(float64(got-slowdown.Usual)) > 0.01 {
		t.Errorf("a target without news had %.2f", got)
	}
}
