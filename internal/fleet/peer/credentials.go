package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/pkg/errors"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"lacewingrock.example/lacewingrock/internal/entry/settings"
)

// Credentials reads the certificates that the settings name: both sides of a connection must show one
// that the authority signed. Without them connections are in the clear, for trials on one machine.
func Credentials(files settings.Peers) (server, client credentials.TransportCredentials, err error) {
	defer func() { err = errors.WithMessage(err, "peer: certificates") }()

	if files.Certificate == "" {
		return insecure.NewCredentials(), insecure.NewCredentials(), nil
	}
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return nil, nil, err
	}
	text, err := os.ReadFile(files.Authority)
	if err != nil {
		return nil, nil, err
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(text) {
		return nil, nil, errors.Errorf("%s holds no certificate", files.Authority)
	}
	server = credentials.NewTLS(&tls.Config{
		Certificates: []tls.Certificate{certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    authority,
		MinVersion:   tls.VersionTLS13,
	})
	client = credentials.NewTLS(&tls.Config{
		Certificates: []tls.Certificate{certificate},
		RootCAs:      authority,
		MinVersion:   tls.VersionTLS13,
	})
	return server, client, nil
}
