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

// Credentials loads the certificates named in the settings, for mutual TLS: both ends of a connection must present a
// certificate that the authority signed. If none is configured, connections are plaintext, for trials on one machine.
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
		return nil, nil, errors.Errorf("%s contains no PEM certificate", files.Authority)
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
