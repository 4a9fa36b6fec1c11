package peer_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"lacewingrock.example/lacewingrock/internal/entry/settings"
	"lacewingrock.example/lacewingrock/internal/fleet/link"
	"lacewingrock.example/lacewingrock/internal/fleet/peer"
)

// authority signs certificates.
type authority struct {
	t           *testing.T
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
	encoded     []byte
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{t: t, key: newKey(t)}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	a.encoded = a.sign(template, template, a.key)
	certificate, err := x509.ParseCertificate(a.encoded)
	if err != nil {
		t.Fatal(err)
	}
	a.certificate = certificate
	return a
}

func (a *authority) pool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.certificate)
	return pool
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func (a *authority) sign(template, parent *x509.Certificate, of *ecdsa.PrivateKey) []byte {
	a.t.Helper()
	encoded, err := x509.CreateCertificate(rand.Reader, template, parent, &of.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	return encoded
}

// instance gives the certificate of an instance at an address, valid until then, to one that trusts the
// authority trusted.
func (a *authority) instance(address string, until time.Time, trusted *authority) (server, client credentials.TransportCredentials) {
	a.t.Helper()
	key := newKey(a.t)
	encoded := a.sign(&x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "instance"}, IPAddresses: []net.IP{net.ParseIP(address)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: until, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}, a.certificate, key)
	encodedKey, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	directory := a.t.TempDir()
	write := func(name, kind string, content []byte) string {
		path := filepath.Join(directory, name)
		if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: content}), 0o600); err != nil {
			a.t.Fatal(err)
		}
		return path
	}
	server, client, err = peer.Credentials(settings.Peers{
		Certificate: write("instance.pem", "CERTIFICATE", encoded),
		Key:         write("instance.key", "PRIVATE KEY", encodedKey),
		Authority:   write("authority.pem", "CERTIFICATE", trusted.encoded),
	})
	if err != nil {
		a.t.Fatal(err)
	}
	return server, client
}

// Somebody who is on the instances' network, without a certificate of their authority, asks an instance
// for tokens or for pins, or answers heartbeats in the place of one. Let through, it could spend any
// workspace's rate, or keep withdrawn keys working.
func TestStrangersAreRefused(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	const here, elsewhere = "127.0.0.1", "127.0.0.2"
	valid, past := time.Now().Add(time.Hour), time.Now().Add(-time.Minute)
	server, client := ours.instance(here, valid, ours)
	strangeServer, strangeClient := theirs.instance(here, valid, theirs)
	// These trust our authority, so that the other side alone can refuse them.
	impostorServer, impostorClient := theirs.instance(here, valid, ours)
	lapsedServer, lapsedClient := ours.instance(here, past, ours)
	movedServer, _ := ours.instance(elsewhere, valid, ours)
	open := insecure.NewCredentials()
	nameless := credentials.NewTLS(&tls.Config{RootCAs: ours.pool(), MinVersion: tls.VersionTLS13})
	cases := []struct {
		name           string
		server, client credentials.TransportCredentials
		answered       bool
	}{
		{"both of the authority", server, client, true},
		{"client in the clear", server, open, false},
		{"client without a certificate", server, nameless, false},
		{"client of another authority", server, strangeClient, false},
		{"client of another authority that trusts ours", server, impostorClient, false},
		{"client whose certificate has run out", server, lapsedClient, false},
		{"server in the clear", open, client, false},
		{"server of another authority", strangeServer, client, false},
		{"server of another authority that trusts ours", impostorServer, client, false},
		{"server whose certificate has run out", lapsedServer, client, false},
		{"server with the certificate of another address", movedServer, client, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			handler := &recorder{}
			address := serve(t, handler, c.server)
			directory := &peer.Client{Links: link.Links{Credentials: c.client}}
			defer directory.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, err := directory.Ping(ctx, address, peer.Heartbeat{Instance: "i1"})
			is.Equal(err == nil, c.answered)
			is.Equal(handler.asked != nil, c.answered)
		})
	}
}
