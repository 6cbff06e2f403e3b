package messenger

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"
)

// Timeouts of connections and requests.
const (
	// dialTimeout limits the time to open a connection to a peer. It is ten times the round-trip time between regions. A
	// machine without power does not respond, and the operating system would repeat the connection request only after a
	// second.
	dialTimeout = 400 * time.Millisecond
	// headerTimeout limits the time until the headers of a request have arrived.
	headerTimeout = 2 * time.Second
	// writeTimeout is how long a peer may accept no bytes or not answer a ping before its connection is closed, so that an
	// unresponsive peer does not occupy memory.
	writeTimeout = 5 * time.Second
	// pingInterval is how long a connection may receive no frame before a ping is sent on it.
	pingInterval = 10 * time.Second
)

// NewClient returns an HTTP/2 client with its own connections. A nil tlsConfig means cleartext.
func NewClient(tlsConfig *tls.Config) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(tlsConfig == nil)
	return &http.Client{Transport: &http.Transport{
		Protocols:       protocols,
		TLSClientConfig: tlsConfig,
		DialContext:     dialPeer,
		// Without pings, a response that was cancelled would keep the connection to an unresponsive peer open.
		HTTP2: &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: writeTimeout, WriteByteTimeout: writeTimeout},
	}}
}

// WrapConnections makes a client of NewClient pass each new connection to wrap and use the result. It returns the client, which must not
// be in use.
func WrapConnections(client *http.Client, wrap func(net.Conn) net.Conn) *http.Client {
	transport := client.Transport.(*http.Transport)
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return wrap(conn), nil
	}
	return client
}

// dialPeer opens a connection to a peer.
func dialPeer(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return notifyReceipt(ctx, conn), nil
}

// NewServer returns an HTTP/2 server for the mux. A nil tlsConfig means cleartext.
func NewServer(mux *http.ServeMux, tlsConfig *tls.Config) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP2(true)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(tlsConfig == nil)
	return &http.Server{
		Handler:           mux,
		Protocols:         protocols,
		TLSConfig:         tlsConfig,
		ReadHeaderTimeout: headerTimeout,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:  pingInterval,
			PingTimeout:      writeTimeout,
			WriteByteTimeout: writeTimeout,
		},
	}
}

// Scheme returns the URL scheme to use with a TLS configuration.
func Scheme(tlsConfig *tls.Config) string {
	if tlsConfig == nil {
		return "http://"
	}
	return "https://"
}
