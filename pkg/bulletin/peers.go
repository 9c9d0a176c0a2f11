package bulletin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"net/rpc"
	"slices"
	"time"

	"quaydock/pkg/ablation"
	"quaydock/pkg/clock"
	"quaydock/pkg/follow"
	"quaydock/pkg/network"
)

const (
	// peerService is the name under which the questions to a peer are registered.
	peerService   = "Bulletin"
	changesMethod = peerService + ".Changes"
	hasMethod     = peerService + ".Has"
	wholeMethod   = peerService + ".Whole"
	// peerTime bounds one question to a peer, the connection included: peers are
	// a few ms away, and the next one may do better.
	peerTime = 300 * clock.Millisecond
	// nextPeer is after what time the next peer is asked besides: one without power
	// says nothing.
	nextPeer = 40 * clock.Millisecond
	// wholeTime bounds the passing on of a whole table, of some MB at the most.
	wholeTime = 2 * clock.Second
	// servePeer bounds a peer's connection at the one that is asked.
	servePeer = wholeTime + peerTime
	// mostPeers is how many peers are asked in a round.
	mostPeers = 3
	// mostAskers is how many peers are answered at once: who is sent away asks another
	// one, which may know by then.
	mostAskers = 16
	// acceptPause is after an accept that failed, as when descriptors are used up.
	acceptPause = 300 * clock.Millisecond
	// roundPause is between two rounds.
	roundPause = 30 * clock.Millisecond
)

// Question asks a peer for a table, or for its changes after a version.
type Question struct {
	Table string
	After int64
}

// News is the answer to a Question.
type News struct {
	// Known is false if the peer does not hold what was asked for.
	Known bool
	// Rows are the changes up to Version, or all rows at that version, which was the
	// newest at StoreTime by the store's clock; they are packed.
	Rows      []byte
	Version   int64
	StoreTime clock.Millis
	// Age is how long ago that was, but for the time that messages between entries took.
	Age clock.Millis
}

// peerServer answers the questions of peers.
type peerServer struct{ board *Board }

// Changes tells what has changed as far as this entry holds it.
func (s *peerServer) Changes(q *Question, news *News) error {
	return s.answer(q, news, func(t *table) (follow.Batch, bool) { return t.replica.since(q.After) })
}

// Has tells whether this entry holds all rows, and of which version.
func (s *peerServer) Has(q *Question, news *News) error {
	return s.answer(q, news, func(t *table) (follow.Batch, bool) {
		return follow.Batch{Version: t.replica.to, StoreTime: t.replica.storeTime}, t.replica.complete
	})
}

// Whole tells all rows.
func (s *peerServer) Whole(q *Question, news *News) error {
	return s.answer(q, news, func(t *table) (follow.Batch, bool) { return t.replica.whole() })
}

func (s *peerServer) answer(q *Question, news *News, read func(*table) (follow.Batch, bool)) error {
	now := s.board.Clock.Now()
	s.board.mu.Lock()
	t := s.board.table(q.Table)
	batch, known := read(t)
	*news = News{Known: known, Version: batch.Version, StoreTime: batch.StoreTime, Age: now - t.currentAt}
	s.board.mu.Unlock()
	packed, err := pack(batch.Rows)
	news.Rows = packed
	return err
}

// Serve answers peers that ask for news which no datagram holds, until the
// listener is closed.
func (b *Board) Serve(listener net.Listener) {
	server := rpc.NewServer()
	if err := server.RegisterName(peerService, &peerServer{b}); err != nil {
		b.Log.WithError(err).Error("news are not passed on to peers")
		return
	}
	askers := make(chan struct{}, mostAskers)
	for {
		conn, err := listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			b.Log.WithError(err).Warn("peer's connection not accepted")
			clock.Pause(context.Background(), acceptPause)
			continue
		}
		select {
		case askers <- struct{}{}:
		default:
			_ = conn.Close() // the peer asks another one
			continue
		}
		go func() {
			defer func() { <-askers }()
			_ = conn.SetDeadline(time.Now().Add(servePeer.Duration()))
			server.ServeConn(conn)
		}()
	}
}

// peerAnswer is what a question to one peer came to.
type peerAnswer struct {
	batch follow.Batch
	err   error
}

// askPeers asks those that may know for the changes after a version, each next one if the
// one before does not answer soon. It returns the first that knows more.
func (s *Source) askPeers(ctx context.Context, after int64, round int) (follow.Batch, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	peers := s.board.informed(s.name, round)
	answers := make(chan peerAnswer, len(peers))
	failed := errNoPeer
	next := time.NewTicker(nextPeer.Duration())
	defer next.Stop()
	ask := func(peer netip.AddrPort) {
		batch, err := s.askChanges(ctx, peer, after)
		if err != nil {
			err = fmt.Errorf("peer %s: %w", peer, err)
		}
		answers <- peerAnswer{batch, err}
	}
	for asked, ended := 0, 0; ended < len(peers); {
		if asked == ended {
			go ask(peers[asked])
			asked++
		}
		select {
		case a := <-answers:
			ended++
			if a.err == nil {
				s.board.Metrics.Links.Add("news_from_peers", 1)
				return a.batch, nil
			}
			failed = a.err
		case <-next.C:
			if asked < len(peers) {
				go ask(peers[asked])
				asked++
			}
		case <-ctx.Done():
			return follow.Batch{}, errTooSlow
		}
	}
	return follow.Batch{}, failed
}

var (
	errNoPeer  = errors.New("no peer to ask for news")
	errNoNews  = errors.New("it knows no more")
	errTooSlow = errors.New("no answer in time")
)

// informed lists the peers to be asked for a table's news: of its own failure domain first,
// since each domain needs them once. The head of the domain asks the one that told of them
// last; the others ask that one only from the second round on.
func (b *Board) informed(table string, round int) []netip.AddrPort {
	if b.Ablation.Off(ablation.PeerNews) {
		return nil
	}
	b.mu.Lock()
	from := b.table(table).heardFrom
	b.mu.Unlock()
	head, self := b.members.DomainHead(matter)
	var peers []netip.AddrPort
	add := func(list ...netip.AddrPort) {
		for _, peer := range list {
			if peer.IsValid() && !slices.Contains(peers, peer) && len(peers) < mostPeers {
				peers = append(peers, peer)
			}
		}
	}
	switch {
	case self:
		add(from)
	case round > 0:
		add(head, from)
	default:
		add(head)
	}
	add(b.draw(b.members.Neighbours(), 1)...)
	if self || round > 0 {
		add(b.some(mostPeers)...)
	}
	return peers
}

// peerConn is a connection to a peer for one or two questions.
type peerConn struct {
	client *rpc.Client
}

func (b *Board) dial(ctx context.Context, peer netip.AddrPort) (*peerConn, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTime.Duration())
	defer cancel()
	conn, err := b.Network.Dial(ctx, peer.String())
	if err != nil {
		return nil, fmt.Errorf("connecting: %w", err)
	}
	return &peerConn{rpc.NewClient(network.LimitWrites(conn, peerTime))}, nil
}

func (c *peerConn) close() { _ = c.client.Close() }

func (c *peerConn) ask(ctx context.Context, method string, question Question, within clock.Millis) (*News, error) {
	ctx, cancel := context.WithTimeout(ctx, within.Duration())
	defer cancel()
	news := &News{}
	call := c.client.Go(method, &question, news, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		return nil, errTooSlow
	}
	if call.Error != nil {
		return nil, fmt.Errorf("asking: %w", call.Error)
	}
	if !news.Known {
		return nil, errNoNews
	}
	return news, nil
}

// batch unpacks what a peer told.
func (n *News) batch() (follow.Batch, error) {
	rows, err := unpack(n.Rows)
	if err != nil {
		return follow.Batch{}, err
	}
	age := n.Age
	return follow.Batch{Rows: rows, Version: n.Version, StoreTime: n.StoreTime, Relayed: true, Age: &age}, nil
}

// askChanges asks a peer for the changes after a version.
func (s *Source) askChanges(ctx context.Context, peer netip.AddrPort, after int64) (follow.Batch, error) {
	c, err := s.board.dial(ctx, peer)
	if err != nil {
		return follow.Batch{}, err
	}
	defer c.close()
	news, err := c.ask(ctx, changesMethod, Question{Table: s.name, After: after}, peerTime)
	if err != nil {
		return follow.Batch{}, err
	}
	if news.Version <= after {
		return follow.Batch{}, errNoNews
	}
	return news.batch()
}

// askWhole asks a peer for the whole table: first whether it has it, which is told at
// once, then for the rows, which may take long.
func (s *Source) askWhole(ctx context.Context, peer netip.AddrPort, atLeast int64) (follow.Batch, error) {
	c, err := s.board.dial(ctx, peer)
	if err != nil {
		return follow.Batch{}, err
	}
	defer c.close()
	question := Question{Table: s.name}
	has, err := c.ask(ctx, hasMethod, question, nextPeer)
	if err != nil {
		return follow.Batch{}, err
	}
	if has.Version < atLeast {
		return follow.Batch{}, errNoNews
	}
	news, err := c.ask(context.WithoutCancel(ctx), wholeMethod, question, wholeTime)
	if err != nil {
		return follow.Batch{}, err
	}
	return news.batch()
}
