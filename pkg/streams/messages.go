package streams

import "quaydock/pkg/ids"

// copyMessage asks an entry to keep origins of streams that the sender relays. It is sent again until it is confirmed.
type copyMessage struct {
	_       struct{} `cbor:",toarray"`
	Number  uint64
	Origins []Origin // each once
	Items   []copyItem
}

// copyItem is the origin of one stream.
type copyItem struct {
	_      struct{} `cbor:",toarray"`
	Key    Key
	Origin int // its place in Origins
}

// copyTaken confirms a copyMessage.
type copyTaken struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
}

// originQuery asks an entry for the origin of a stream, and for the versions at which streams of a service may have begun.
// Its key is zero if only the versions are wanted.
type originQuery struct {
	_       struct{} `cbor:",toarray"`
	Number  uint64
	Key     Key
	Service ids.Service
	Route   string // the route on which the stream is taken up again; empty if only the versions are wanted
}

// originReply answers an originQuery.
type originReply struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Origin *Origin // nil if the entry does not have it
	// Service has had Versions of late and no others, if Complete is set.
	Service  ids.Service
	Complete bool
	Versions []ids.Version
	// RouteSettled says that the route of the query has led to the service alone for as long as streams may still be taken
	// up again. Routes is the digest of all routes of which that holds.
	RouteSettled bool
	Routes       uint64
}

// Sizes of messages, which have to fit into a datagram.
const (
	maxMessageBytes = 1200
	// originOverhead and itemBytes are the most that an origin takes beside its names, and that an item takes.
	originOverhead = 24
	itemBytes      = 24
)

// bytes returns the most that an origin takes in a message.
func (o *Origin) bytes() int {
	return originOverhead + len(o.Service) + len(o.Version) + len(o.Incarnation.Target)
}
