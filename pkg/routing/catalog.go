package routing

import (
	"slices"
	"strings"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// Revision is the number of a configuration; it only increases.
type Revision int64

// Account is a client account with its tier and its allowance over all
// entries together.
type Account struct {
	Name ids.Account
	Tier ids.TierRank
	Keys []string // the keys by which callers are known to be the account's
	// PerSecond and Burst limit the account's usage, in units (tokens
	// or requests); a PerSecond of 0 means no limit.
	PerSecond float64
	Burst     float64
	// CountsTokens says that a unit is a token; a request without a number of tokens
	// counts PlainTokens.
	CountsTokens bool
	PlainTokens  float64
}

// Units returns how many units a request uses of the allowance.
func (a *Account) Units(tokens ids.Tokens) float64 {
	switch {
	case !a.CountsTokens:
		return 1
	case tokens > 0:
		return float64(tokens)
	default:
		return a.PlainTokens
	}
}

// Accounts are the client accounts of a configuration. The zero value admits only requests to anonymous routes.
type Accounts struct {
	// Open means that requests need no key, as the configuration has no list of accounts. An empty list is one.
	Open bool
	List []*Account
}

// Service is a set of interchangeable targets.
type Service struct {
	Name ids.Service
	// Connections is how many connections one target accepts from all entries together.
	Connections int
	// HealthPath is where targets say who they are, in any state; empty if they don't.
	HealthPath string
	// ColdPerSecond is how many requests per second a cold target can take; 0 means no limit. ColdTime is how long
	// targets stay cold after their start.
	ColdPerSecond float64
	ColdTime      clock.Millis
	// Engine is set for services whose targets are model engines, nil otherwise.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests one engine runs at once.
	Slots int
	// Memory is how many tokens fit into one engine's memory.
	Memory ids.Tokens
	// EventTokens is how many tokens one event of a stream carries.
	EventTokens int
}

// Limits holds the limits on the size and duration of callers' requests. HeaderTime is the longest time for reading a
// request's headers, IdleTime how long a connection without a request is kept.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  clock.Millis
	IdleTime    clock.Millis
}

// Catalog is one complete configuration. It is immutable.
type Catalog struct {
	Revision Revision
	Limits   Limits
	services map[ids.Service]*Service
	hosts    map[string][]*Route // by host, the longest prefix first
	routes   map[string]*Route   // by name
	keys     map[string]*Account // by key
	accounts Accounts
	byName   map[ids.Account]*Account
	weights  map[ids.Account]float64 // of the accounts' shares of scarce capacity
}

// NewCatalog builds a catalog, with the routes of each host sorted for Route.
func NewCatalog(revision Revision, limits Limits, routes []*Route, services []*Service, accounts Accounts) *Catalog {
	c := &Catalog{
		Revision: revision,
		Limits:   limits,
		services: make(map[ids.Service]*Service, len(services)),
		hosts:    make(map[string][]*Route),
		routes:   make(map[string]*Route, len(routes)),
		keys:     make(map[string]*Account),
		accounts: accounts,
		byName:   make(map[ids.Account]*Account, len(accounts.List)),
		weights:  shareWeights(accounts.List),
	}
	for _, s := range services {
		c.services[s.Name] = s
	}
	for _, r := range routes {
		c.hosts[r.Host] = append(c.hosts[r.Host], r)
		c.routes[r.Name] = r
	}
	for _, list := range c.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, a := range accounts.List {
		if c.byName[a.Name] == nil {
			c.byName[a.Name] = a
		}
		for _, key := range a.Keys {
			c.keys[key] = a
		}
	}
	delete(c.keys, "") // what callers without a key send
	return c
}

// Route returns the host's route with the longest prefix of path, or nil if there is none or it has no service.
func (c *Catalog) Route(host, path string) *Route {
	for _, r := range c.hosts[host] {
		if !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		if !r.hasService() {
			return nil
		}
		return r
	}
	return nil
}

// HasRoute reports whether there is a route with a name.
func (c *Catalog) HasRoute(name string) bool {
	return c.routes[name] != nil
}

// IsStream reports whether there is a route with a name, and its requests are answered by streams.
func (c *Catalog) IsStream(name ids.Route) bool {
	r := c.routes[string(name)]
	return r != nil && r.Kind == Stream
}

// StreamRoutes returns the routes whose requests are answered by streams.
func (c *Catalog) StreamRoutes() []*Route {
	var list []*Route
	for _, routes := range c.hosts {
		for _, r := range routes {
			if r.Kind == Stream {
				list = append(list, r)
			}
		}
	}
	return list
}

// HasStreams reports whether a route leads to a service whose requests are answered by streams.
func (c *Catalog) HasStreams(service ids.Service) bool {
	return slices.ContainsFunc(c.StreamRoutes(), func(r *Route) bool { return r.LeadsTo(service) })
}

// Account returns the account that a key belongs to, or nil.
func (c *Catalog) Account(key string) *Account {
	return c.keys[key]
}

// AccountByName returns the account with a name, or nil.
func (c *Catalog) AccountByName(name ids.Account) *Account {
	return c.byName[name]
}

// Accounts returns all client accounts.
func (c *Catalog) Accounts() []*Account {
	return c.accounts.List
}

// RequiresKey reports whether requests need a key, except to anonymous routes. They do even if no account is left.
func (c *Catalog) RequiresKey() bool {
	return !c.accounts.Open
}

// Service returns a service, or nil. The catalog may be nil, as it is before the first one was read.
func (c *Catalog) Service(name ids.Service) *Service {
	if c == nil {
		return nil
	}
	return c.services[name]
}
