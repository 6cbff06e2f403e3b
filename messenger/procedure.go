package messenger

import (
	"compress/gzip"
	"context"
	"io"
	"net/http"

	"connectrpc.com/connect"
)

// compressMinBytes is the smallest size of a response that is compressed. Compression would make heartbeats larger.
const compressMinBytes = 512

// maxMessageBytes bounds a message, also after decompression. The largest messages are snapshots of the configuration, which
// keeps at most 8 MiB of changed lines and one text.
const maxMessageBytes = 32 << 20

// fastCompression compresses responses with the least effort. The default level takes three times the processor time for the rules
// and tables that one change sends to each of some hundred followers, and saves a twentieth of their bytes.
var fastCompression = connect.WithCompression("gzip",
	func() connect.Decompressor { return &gzip.Reader{} },
	func() connect.Compressor { return newGzipWriter() })

func newGzipWriter() *gzip.Writer {
	w, err := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
	if err != nil {
		panic(err) // The level is constant.
	}
	return w
}

// Procedure is a unary remote procedure with its request and response types.
type Procedure[Req, Res any] struct {
	path string
}

// Handle registers f as the implementation of the procedure.
func (p Procedure[Req, Res]) Handle(mux *http.ServeMux, f func(context.Context, *Req) (*Res, error)) {
	handler := connect.NewUnaryHandler(p.path, func(ctx context.Context, req *connect.Request[Req]) (*connect.Response[Res], error) {
		res, err := f(ctx, req.Msg)
		if err != nil {
			return nil, encodeError(err)
		}
		return connect.NewResponse(res), nil
	}, connect.WithCodec(codec{}), connect.WithReadMaxBytes(maxMessageBytes), connect.WithCompressMinBytes(compressMinBytes), fastCompression)
	mux.Handle(p.path, requireRole(handler, allowedRoles[p.path]))
}

// Call calls the procedure at the peer with the given base URL. Errors are of type *Error.
func (p Procedure[Req, Res]) Call(ctx context.Context, client *http.Client, base string, req *Req) (*Res, error) {
	c := connect.NewClient[Req, Res](client, base+p.path, connect.WithCodec(codec{}), connect.WithReadMaxBytes(maxMessageBytes))
	res, err := c.CallUnary(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, decodeError("messenger.Call "+p.path, err)
	}
	return res.Msg, nil
}

// Stream is a remote procedure whose response is a stream of messages.
type Stream[Req, Res any] struct {
	path string
}

// Handle registers f as the implementation of the procedure. The stream ends when f returns.
func (s Stream[Req, Res]) Handle(mux *http.ServeMux, f func(ctx context.Context, req *Req, send func(*Res) error) error) {
	handler := connect.NewServerStreamHandler(s.path, func(ctx context.Context, req *connect.Request[Req], stream *connect.ServerStream[Res]) error {
		err := f(ctx, req.Msg, stream.Send)
		if err != nil {
			return encodeError(err)
		}
		return nil
	}, connect.WithCodec(codec{}), connect.WithReadMaxBytes(maxMessageBytes), connect.WithCompressMinBytes(compressMinBytes), fastCompression)
	mux.Handle(s.path, requireRole(handler, allowedRoles[s.path]))
}

// Call opens the stream and passes each message to receive, until the stream or ctx ends or receive returns an error.
func (s Stream[Req, Res]) Call(ctx context.Context, client *http.Client, base string, req *Req, receive func(*Res) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := connect.NewClient[Req, Res](client, base+s.path, connect.WithCodec(codec{}), connect.WithReadMaxBytes(maxMessageBytes))
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
