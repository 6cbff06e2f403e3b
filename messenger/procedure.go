package messenger

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
)

// compressMinimum is the size in bytes from which responses are compressed. Heartbeats grow under compression.
const compressMinimum = 512

// Procedure is a unary remote call with a request and a response type.
type Procedure[Req, Res any] struct {
	path string
}

// Handle registers the procedure's implementation on a mux.
func (p Procedure[Req, Res]) Handle(mux *http.ServeMux, f func(context.Context, *Req) (*Res, error)) {
	handler := connect.NewUnaryHandler(p.path, func(ctx context.Context, req *connect.Request[Req]) (*connect.Response[Res], error) {
		res, err := f(ctx, req.Msg)
		if err != nil {
			return nil, encodeError(err)
		}
		return connect.NewResponse(res), nil
	}, connect.WithCodec(codec{}), connect.WithCompressMinBytes(compressMinimum))
	mux.Handle(p.path, restrict(handler, callers[p.path]))
}

// Call runs the procedure at the peer with the given base URL.
func (p Procedure[Req, Res]) Call(ctx context.Context, client *http.Client, base string, req *Req) (*Res, error) {
	c := connect.NewClient[Req, Res](client, base+p.path, connect.WithCodec(codec{}))
	res, err := c.CallUnary(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, decodeError("messenger.Call "+p.path, err)
	}
	return res.Msg, nil
}

// Stream is a remote call whose response is a stream of messages.
type Stream[Req, Res any] struct {
	path string
}

// Handle registers the stream's implementation on a mux. The stream ends when f returns.
func (s Stream[Req, Res]) Handle(mux *http.ServeMux, f func(ctx context.Context, req *Req, send func(*Res) error) error) {
	handler := connect.NewServerStreamHandler(s.path, func(ctx context.Context, req *connect.Request[Req], stream *connect.ServerStream[Res]) error {
		err := f(ctx, req.Msg, stream.Send)
		if err != nil {
			return encodeError(err)
		}
		return nil
	}, connect.WithCodec(codec{}), connect.WithCompressMinBytes(compressMinimum))
	mux.Handle(s.path, restrict(handler, callers[s.path]))
}

// Call opens the stream and passes each message to receive until the stream or ctx ends.
func (s Stream[Req, Res]) Call(ctx context.Context, client *http.Client, base string, req *Req, receive func(*Res) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := connect.NewClient[Req, Res](client, base+s.path, connect.WithCodec(codec{}))
	stream, err := c.CallServerStream(ctx, connect.NewRequest(req))
	if err != nil {
		return decodeError("messenger.Call "+s.path, err)
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		if err := receive(stream.Msg()); err != nil {
			return err
		}
	}
	return decodeError("messenger.Call "+s.path, stream.Err())
}
