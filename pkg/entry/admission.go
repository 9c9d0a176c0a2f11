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

// Headers of the callers' interface.
const (
	HeaderRequestID   = "Quaydock-Request-Id"
	HeaderTier        = "Quaydock-Tier"
	HeaderDeadline    = "Quaydock-Deadline-Ms"
	HeaderNoRepeat    = "Quaydock-No-Repeat"
	HeaderIdempotency = "Idempotency-Key"
	headerPrefix      = "Quaydock-"
)

const (
	bearerPrefix = "Bearer "
	// firstBodyBytes is made room for on the word of Content-Length alone; the
	// rest is made as it arrives, so that a caller who announces much and
	// sends nothing holds little.
	firstBodyBytes = 16 << 10
	maxKeyBytes    = 255
)

// terms are what a caller's headers ask for.
type terms struct {
	account  *declaration.Account
	tier     ids.TierRank
	deadline clock.Millis // a length of time
	key      string       // idempotency key, empty if none
}

// readTerms checks key and headers against the configuration.
func readTerms(book *declaration.Index, h http.Header, limits settings.EntryLimits) (terms, *refusal.Refusal) {
	account, bad := identify(book, h.Get("Authorization"))
	if bad != nil {
		return terms{}, bad
	}
	tier, bad := readTier(book, account, ids.Tier(h.Get(HeaderTier)))
	if bad != nil {
		return terms{}, bad
	}
	deadline, bad := readDeadline(h.Get(HeaderDeadline), book.Deadline(tier), limits.DeadlineMS)
	if bad != nil {
		return terms{}, bad
	}
	switch strings.ToLower(h.Get(HeaderNoRepeat)) {
	case "", "true", "false":
	default:
		return terms{}, refusal.Malformed(HeaderNoRepeat, "%s must be true or false", HeaderNoRepeat)
	}
	key := h.Get(HeaderIdempotency)
	if len(key) > maxKeyBytes {
		return terms{}, refusal.Malformed(HeaderIdempotency, "%s is above %d bytes", HeaderIdempotency, maxKeyBytes)
	}
	return terms{account: account, tier: tier, deadline: deadline, key: key}, nil
}

func identify(book *declaration.Index, authorization string) (*declaration.Account, *refusal.Refusal) {
	if authorization == "" {
		return nil, refusal.NoKey()
	}
	key, found := strings.CutPrefix(authorization, bearerPrefix)
	if !found {
		return nil, refusal.NoKey()
	}
	account := book.Account(strings.TrimSpace(key))
	if account == nil {
		return nil, refusal.BadKey()
	}
	return account, nil
}

func readTier(book *declaration.Index, account *declaration.Account, asked ids.Tier) (ids.TierRank, *refusal.Refusal) {
	if asked == "" {
		asked = account.DefaultTier
	}
	rank, known := book.Rank(asked)
	if !known {
		return 0, refusal.Malformed(HeaderTier, "there is no tier %q", asked)
	}
	highest, _ := book.Rank(account.HighestTier) // checked with the declarations
	if rank.Higher(highest) {
		return 0, refusal.TierNotAllowed(string(asked))
	}
	return rank, nil
}

func readDeadline(asked string, usual, most clock.Millis) (clock.Millis, *refusal.Refusal) {
	if asked == "" {
		return min(usual, most), nil
	}
	n, err := strconv.ParseInt(asked, 10, 64)
	if err != nil || n < 1 {
		return 0, refusal.Malformed(HeaderDeadline, "%s must be a whole number of milliseconds above 0", HeaderDeadline)
	}
	return min(clock.Millis(n), most), nil
}

// readBody reads a caller's body within the limits of size and time.
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

// boundBody bounds the time for the body. The bound is lifted only when the
// body has been read: after a refusal the server itself reads what is left, and
// a slow sender must not hold it.
func boundBody(w http.ResponseWriter, limits settings.EntryLimits) {
	setReadDeadline(w, time.Now().Add(limits.BodyTimeoutMS.Duration()))
}

func setReadDeadline(w http.ResponseWriter, at time.Time) {
	// A writer without deadlines, as in tests, has no slow sender.
	_ = http.NewResponseController(w).SetReadDeadline(at)
}

// readAll reads to the end; length is what was announced, or -1.
func readAll(from io.Reader, length int64) ([]byte, error) {
	if length < 0 || length > firstBodyBytes {
		length = firstBodyBytes
	}
	body := make([]byte, 0, length+1) // one more, so that the end is seen without growing
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

// accountUse counts each account's requests at this entry.
type accountUse struct {
	mu     sync.Mutex
	inside map[ids.Account]int
	keys   map[accountKey]bool
}

type accountKey struct {
	account ids.Account
	key     string
}

func newAccountUse() *accountUse {
	return &accountUse{inside: make(map[ids.Account]int), keys: make(map[accountKey]bool)}
}

// enter counts a request in, unless its account is at its limit or its
// idempotency key is in use here.
func (u *accountUse) enter(t terms) *refusal.Refusal {
	u.mu.Lock()
	defer u.mu.Unlock()
	name := t.account.Name
	if t.account.Concurrency > 0 && u.inside[name] >= t.account.Concurrency {
		return refusal.AccountLimit(minRetryAfter)
	}
	if t.key != "" {
		k := accountKey{name, t.key}
		if u.keys[k] {
			return refusal.KeyInUse(minRetryAfter)
		}
		u.keys[k] = true
	}
	u.inside[name]++
	return nil
}

// leave counts a request out.
func (u *accountUse) leave(t terms) {
	u.mu.Lock()
	defer u.mu.Unlock()
	name := t.account.Name
	u.inside[name]--
	if u.inside[name] == 0 {
		delete(u.inside, name)
	}
	if t.key != "" {
		delete(u.keys, accountKey{name, t.key})
	}
}
