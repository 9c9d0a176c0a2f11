package entry

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/declaration"
	"quaydock/pkg/ids"
	"quaydock/pkg/refusal"
	"quaydock/pkg/settings"
)

// Headers of the callers' interface. All but HeaderRequestID, which each answer carries, are optional options of a
// request.
const (
	HeaderRequestID = "Quaydock-Request-Id"
	// HeaderTier is the name of the requested tier.
	HeaderTier = "Quaydock-Tier"
	// HeaderDeadline is the time from the request's arrival to its deadline, in milliseconds.
	HeaderDeadline = "Quaydock-Deadline-Ms"
	// HeaderNoRepeat must be true or false; the value has no effect here, as a dispatched request is never sent
	// again.
	HeaderNoRepeat = "Quaydock-No-Repeat"
	// HeaderIdempotency is a key under which an account's call runs at most once.
	HeaderIdempotency = "Idempotency-Key"
	// headerPrefix begins the names of headers that no plain service is sent.
	headerPrefix = "Quaydock-"
)

const (
	bearerPrefix = "Bearer "
	// firstBodyBytes is how much buffer is allocated on the strength of Content-Length alone; the rest is
	// allocated as data arrives, so that a caller who announces much and sends nothing holds little memory.
	firstBodyBytes = 16 << 10
	// maxKeyBytes limits the length of an idempotency key.
	maxKeyBytes = 255
)

// callOptions are the options in a caller's headers.
type callOptions struct {
	account  *declaration.Account
	tier     ids.TierRank
	deadline clock.Millis // relative to the arrival
	key      string       // idempotency key, empty if none
}

// readOptions reads the options in a caller's headers and checks them, and the API key, against the configuration. It
// returns the refusal that the caller gets if one is not valid.
func readOptions(index *declaration.Index, h http.Header, limits settings.EntryLimits) (callOptions, *refusal.Refusal) {
	account, bad := identify(index, h.Get("Authorization"))
	if bad != nil {
		return callOptions{}, bad
	}
	tier, bad := readTier(index, account, ids.Tier(h.Get(HeaderTier)))
	if bad != nil {
		return callOptions{}, bad
	}
	deadline, bad := readDeadline(h.Get(HeaderDeadline), index.Deadline(tier), limits.DeadlineMS)
	if bad != nil {
		return callOptions{}, bad
	}
	switch strings.ToLower(h.Get(HeaderNoRepeat)) {
	case "", "true", "false":
	default:
		return callOptions{}, refusal.Malformed(HeaderNoRepeat, "%s must be true or false", HeaderNoRepeat)
	}
	key := h.Get(HeaderIdempotency)
	if len(key) > maxKeyBytes {
		return callOptions{}, refusal.Malformed(HeaderIdempotency, "%s is above %d bytes", HeaderIdempotency, maxKeyBytes)
	}
	return callOptions{account: account, tier: tier, deadline: deadline, key: key}, nil
}

// identify returns the client account of the API key in an Authorization header.
func identify(index *declaration.Index, authorization string) (*declaration.Account, *refusal.Refusal) {
	if authorization == "" {
		return nil, refusal.NoKey()
	}
	key, found := strings.CutPrefix(authorization, bearerPrefix)
	if !found {
		return nil, refusal.NoKey()
	}
	account := index.Account(strings.TrimSpace(key))
	if account == nil {
		return nil, refusal.BadKey()
	}
	return account, nil
}

// readTier returns the rank of the requested tier, or of the account's default tier if none is requested. It refuses
// a tier above the highest one of the account.
func readTier(index *declaration.Index, account *declaration.Account, requested ids.Tier) (ids.TierRank, *refusal.Refusal) {
	if requested == "" {
		requested = account.DefaultTier
	}
	rank, known := index.Rank(requested)
	if !known {
		return 0, refusal.Malformed(HeaderTier, "there is no tier %q", requested)
	}
	highest, _ := index.Rank(account.HighestTier) // the check of the declarations makes sure that it is known
	if rank.Higher(highest) {
		return 0, refusal.TierNotAllowed(string(requested))
	}
	return rank, nil
}

// readDeadline returns the time from the arrival to the deadline: the requested one in milliseconds, or byDefault if
// none is requested, but no more than maximum.
func readDeadline(requested string, byDefault, maximum clock.Millis) (clock.Millis, *refusal.Refusal) {
	if requested == "" {
		return min(byDefault, maximum), nil
	}
	n, err := strconv.ParseInt(requested, 10, 64)
	if err != nil || n < 1 {
		return 0, refusal.Malformed(HeaderDeadline, "%s must be a whole number of milliseconds above 0", HeaderDeadline)
	}
	return min(clock.Millis(n), maximum), nil
}

// readBody reads a caller's body within the limits of size and of time, which setBodyDeadline has set. It lifts the
// limit of time once the body is read.
func readBody(w http.ResponseWriter, r *http.Request, limits settings.EntryLimits) ([]byte, *refusal.Refusal) {
	if r.ContentLength > limits.BodyBytes {
		return nil, refusal.BodyTooLarge(limits.BodyBytes)
	}
	body, err := readAll(http.MaxBytesReader(w, r.Body, limits.BodyBytes), r.ContentLength)
	var tooLarge *http.MaxBytesError
	var failed net.Error
	switch {
	case err == nil:
		setReadDeadline(w, time.Time{})
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, refusal.BodyTooLarge(limits.BodyBytes)
	case errors.As(err, &failed) && failed.Timeout():
		return nil, refusal.SlowSender()
	default:
		return nil, refusal.Malformed("", "the body could not be read")
	}
}

// setBodyDeadline limits the time for reading the body. The deadline is lifted only after the body has been read:
// after a refusal the HTTP server itself reads what is left, and a slow sender must not hold it.
func setBodyDeadline(w http.ResponseWriter, limits settings.EntryLimits) {
	setReadDeadline(w, time.Now().Add(limits.BodyTimeoutMS.Duration()))
}

// setReadDeadline limits reading from the caller's connection; the zero time means no limit.
func setReadDeadline(w http.ResponseWriter, at time.Time) {
	// The error is ignored: writers of tests may have no deadlines, and no slow sender either.
	_ = http.NewResponseController(w).SetReadDeadline(at)
}

// readAll reads to the end. The length is the announced one, or -1 if there is none; it only determines the size of
// the first buffer.
func readAll(from io.Reader, length int64) ([]byte, error) {
	if length < 0 || length > firstBodyBytes {
		length = firstBodyBytes
	}
	body := make([]byte, 0, length+1) // one more byte, so that EOF is seen without growing
	for {
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
	}
}

// accountUse counts each client account's running requests at this entry and holds their idempotency keys.
type accountUse struct {
	mu      sync.Mutex
	running map[ids.Account]int // accounts without a running request have no element
	keys    map[accountKey]bool // the idempotency keys of running requests
}

// accountKey is an idempotency key of one account; other accounts may use the same key.
type accountKey struct {
	account ids.Account
	key     string
}

func newAccountUse() *accountUse {
	return &accountUse{running: make(map[ids.Account]int), keys: make(map[accountKey]bool)}
}

// enter counts a request in, unless its account is at its limit or its idempotency key is in use here.
func (u *accountUse) enter(t callOptions) *refusal.Refusal {
	u.mu.Lock()
	defer u.mu.Unlock()
	name := t.account.Name
	if t.account.Concurrency > 0 && u.running[name] >= t.account.Concurrency {
		return refusal.AccountLimit(minRetryAfter)
	}
	if t.key != "" {
		k := accountKey{name, t.key}
		if u.keys[k] {
			return refusal.KeyInUse(minRetryAfter)
		}
		u.keys[k] = true
	}
	u.running[name]++
	return nil
}

// leave counts out a request that enter has counted in, and frees its idempotency key.
func (u *accountUse) leave(t callOptions) {
	u.mu.Lock()
	defer u.mu.Unlock()
	name := t.account.Name
	u.running[name]--
	if u.running[name] == 0 {
		delete(u.running, name)
	}
	if t.key != "" {
		delete(u.keys, accountKey{name, t.key})
	}
}
