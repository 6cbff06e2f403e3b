package messenger

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"
)

// Timeouts of connections.
const (
	// dialTimeout bounds the time until a connection to a peer is open. It is ten times the way between regions and back; a
	// machine without power answers nothing, and the operating system would ask it again only after a second.
	dialTimeout = 400 * time.Millisecond
	// headerTimeout bounds the time until the headers of a request have arrived.
	headerTimeout = 2 * time.Second
	// writeTimeout ends a connection whose peer takes no bytes, so that a silent peer holds no memory of a server.
	writeTimeout = 5 * time.Second
	// pingInterval is how long a server's connection may bring no frame before it is probed.
	pingInterval = 10 * time.Second
)

// NewClient returns an HTTP/2 client with connections of its own. A nil tlsConfig means cleartext.
func NewClient(tlsConfig *tls.Config) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(tlsConfig == nil)
	return &http.Client{Transport: &http.Transport{
		Protocols:       protocols,
		TLSClientConfig: tlsConfig,
		DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
		// A response that was cancelled on a silent connection would otherwise keep the connection open.
		HTTP2: &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: writeTimeout, WriteByteTimeout: writeTimeout},
	}}
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

// Scheme returns the URL scheme that fits a TLS configuration.
func Scheme(tlsConfig *tls.Config) string {
	if tlsConfig == nil {
		return "http://"
	}
	return "https://"
}
