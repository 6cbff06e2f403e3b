package messenger

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"
)

// dialTimeout bounds the time until a connection to a peer is open.
const dialTimeout = 2 * time.Second

// NewClient returns an HTTP/2 client with connections of its own. A nil tlsConfig means cleartext.
func NewClient(tlsConfig *tls.Config) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(tlsConfig == nil)
	return &http.Client{Transport: &http.Transport{
		Protocols:       protocols,
		TLSClientConfig: tlsConfig,
		DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
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
		ReadHeaderTimeout: dialTimeout,
	}
}

// Scheme returns the URL scheme that fits a TLS configuration.
func Scheme(tlsConfig *tls.Config) string {
	if tlsConfig == nil {
		return "http://"
	}
	return "https://"
}
