package framer_test

import (
	"testing"

	"cherviltide.example/cherviltide/framer"
)

func BenchmarkEncode(b *testing.B) {
	f := framer.New([16]byte{1, 2, 3})
	datagram := make([]byte, framer.HeaderSize+1200)
	b.ReportAllocs()
	for b.Loop() {
		f.Encode(datagram, testHeader, 1200)
	}
}

func BenchmarkDecode(b *testing.B) {
	f := framer.New([16]byte{1, 2, 3})
	datagram := encoded(f, "datagram")
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := f.Decode(datagram); err != nil {
			b.Fatal(err)
		}
	}
}
