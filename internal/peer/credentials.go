package peer

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
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
)

// serverName is the DNS name in every instance certificate. Instances are addressed
// by IP address, so a peer is trusted because the operator's authority signed its
// certificate.
const serverName = "vanillaward-instance"

// Credentials hold an instance's certificate, its key and the authorities that
// it trusts. Files are read again after they changed, so that keys can be replaced
// without a restart.
type Credentials struct {
	folder string
	plain  bool
	dialer net.Dialer
	dial   Dial

	mu      sync.Mutex // guards the rest; never held while another lock is taken
	log     logr.Logger
	failed  string // why the files could not be read again last; empty if they could
	modTime time.Time
	cert    *tls.Certificate
	trusted *x509.CertPool
}

// Role is what a certificate entitles its holder to.
type Role string

// Roles that a certificate can carry.
const (
	// RoleInstance may replicate the configuration, vote and keep records of requests.
	RoleInstance Role = "instance"
	// RoleOperator may change and read the configuration.
	RoleOperator Role = "operator"
)

// Names of the files in the folder of an instance's credentials.
const (
	certFile       = "instance.crt"
	keyFile        = "instance.key"
	authorityFile  = "authority.crt"
	signingKeyFile = "authority.key"
)

// LoadCredentials reads instance.crt, instance.key and authority.crt of a
// folder. authority.crt may hold several certificates while an authority is being
// replaced. It returns an error if a file cannot be read or parsed.
func LoadCredentials(folder string) (*Credentials, error) {
	c := &Credentials{folder: folder, log: logr.Discard()}
	if _, _, err := c.current(); err != nil {
		return nil, err
	}
	return c, nil
}

// SetLog sets where it is logged that changed files cannot be read, and that they can again.
func (c *Credentials) SetLog(log logr.Logger) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log = log
}

// Dial opens a connection to an address.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Option configures credentials.
type Option func(*Credentials)

// WithDial sets how connections are opened, instead of by the operating system.
func WithDial(dial Dial) Option { return func(c *Credentials) { c.dial = dial } }

// PlainCredentials returns credentials for a deployment on an isolated network:
// connections between its processes are neither encrypted nor authenticated, and
// every peer is treated as an instance.
func PlainCredentials(options ...Option) *Credentials {
	c := &Credentials{plain: true, log: logr.Discard()}
	c.dial = c.dialer.DialContext
	for _, option := range options {
		option(c)
	}
	return c
}

// SetSourceAddress sets the source address of outgoing connections. It must be called
// before the first connection is opened. An invalid address changes nothing.
func (c *Credentials) SetSourceAddress(source netip.AddrPort) {
	if source.IsValid() {
		c.dialer.LocalAddr = net.TCPAddrFromAddrPort(source)
	}
}

// connect connects to a peer.
func (c *Credentials) connect(ctx context.Context, address string) (net.Conn, error) {
	if c.plain {
		return c.dial(ctx, "tcp", address)
	}
	return (&tls.Dialer{NetDialer: &c.dialer, Config: c.client()}).DialContext(ctx, "tcp", address)
}

// Dial connects to the address of another process of the system, as its peer.
func (c *Credentials) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	return c.connect(ctx, address)
}

// Listen returns a listener whose connections are those of the given one, authenticated where the
// credentials are not plain.
func (c *Credentials) Listen(listener net.Listener) net.Listener {
	if c.plain {
		return listener
	}
	return tls.NewListener(listener, c.server())
}

// IsInstance reports whether the other side of a connection from Listen is an instance. State is that
// of the connection, nil without TLS.
func (c *Credentials) IsInstance(state *tls.ConnectionState) bool {
	return c.plain || state != nil && callerOf(*state).role == RoleInstance
}

// authenticate performs the TLS handshake of an incoming connection and returns the
// authenticated caller.
func (c *Credentials) authenticate(ctx context.Context, conn net.Conn) (net.Conn, Caller, error) {
	if c.plain {
		return conn, Caller{name: conn.RemoteAddr().String(), role: RoleInstance}, nil
	}
	secure := tls.Server(conn, c.server())
	if err := secure.HandshakeContext(ctx); err != nil {
		return nil, Caller{}, err
	}
	return secure, callerOf(secure.ConnectionState()), nil
}

// current returns the certificate and the trusted authorities. When changed
// files cannot be read, the previous ones stay in use.
func (c *Credentials) current() (*tls.Certificate, *x509.CertPool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	modTime, err := c.latestModTime()
	if err == nil && !modTime.Equal(c.modTime) {
		err = c.load()
	}
	if err == nil {
		c.modTime = modTime
	}
	if c.cert == nil {
		return nil, nil, errors.Wrap(err, "credentials")
	}
	c.logReload(err)
	return c.cert, c.trusted, nil
}

// logReload logs a failure to read changed files, once for each reason, and its end. It is called with the
// lock held.
func (c *Credentials) logReload(err error) {
	switch {
	case err == nil && c.failed != "":
		c.log.Info("credentials can be read again", "folder", c.folder)
		c.failed = ""
	case err != nil && c.failed != err.Error():
		c.log.Error(err, "cannot read changed credentials; the previous ones stay in use", "folder", c.folder)
		c.failed = err.Error()
	}
}

// latestModTime returns the latest modification time of the files.
func (c *Credentials) latestModTime() (time.Time, error) {
	var newest time.Time
	for _, name := range []string{certFile, keyFile, authorityFile} {
		info, err := os.Stat(filepath.Join(c.folder, name))
		if err != nil {
			return newest, err
		}
		if info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest, nil
}

func (c *Credentials) load() error {
	cert, err := tls.LoadX509KeyPair(filepath.Join(c.folder, certFile), filepath.Join(c.folder, keyFile))
	if err != nil {
		return err
	}
	authorities, err := os.ReadFile(filepath.Join(c.folder, authorityFile))
	if err != nil {
		return err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authorities) {
		return errors.Errorf("%s holds no certificate", authorityFile)
	}
	c.cert, c.trusted = &cert, pool
	return nil
}

// server returns the TLS configuration for one incoming connection.
func (c *Credentials) server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool, err := c.current()
			if err != nil {
				return nil, err
			}
			return &tls.Config{
				MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert},
				ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool,
			}, nil
		},
	}
}

// client returns the TLS configuration for one outgoing connection.
func (c *Credentials) client() *tls.Config {
	cert, pool, err := c.current()
	if err != nil {
		return &tls.Config{MinVersion: tls.VersionTLS13, ServerName: serverName}
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, ServerName: serverName,
		Certificates: []tls.Certificate{*cert}, RootCAs: pool,
	}
}

const (
	authorityLifetime = 10 * 365 * 24 * time.Hour
	instanceLifetime  = 365 * 24 * time.Hour
	serialBits        = 120
)

// WriteAuthority creates a signing authority in the folder.
func WriteAuthority(folder string) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrap(err, "cannot generate the authority's key")
	}
	template, err := newTemplate("vanillaward authority", authorityLifetime)
	if err != nil {
		return err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return errors.Wrap(err, "cannot create the authority's certificate")
	}
	return writePair(folder, authorityFile, signingKeyFile, der, key)
}

// WriteCredentials creates the credentials of an instance or an operator in the
// folder, signed by the authority in the folder authority.
func WriteCredentials(folder, authority, name string, role Role) error {
	pair, err := tls.LoadX509KeyPair(filepath.Join(authority, authorityFile), filepath.Join(authority, signingKeyFile))
	if err != nil {
		return errors.Wrap(err, "authority")
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrap(err, "cannot generate private key")
	}
	template, err := newTemplate(name, instanceLifetime)
	if err != nil {
		return err
	}
	template.Subject.OrganizationalUnit = []string{string(role)}
	template.DNSNames = []string{serverName}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, pair.Leaf, &key.PublicKey, pair.PrivateKey)
	if err != nil {
		return errors.Wrap(err, "cannot create certificate")
	}
	if err := writePair(folder, certFile, keyFile, der, key); err != nil {
		return err
	}
	signed, err := os.ReadFile(filepath.Join(authority, authorityFile))
	if err != nil {
		return errors.Wrap(err, "authority")
	}
	return errors.Wrap(os.WriteFile(filepath.Join(folder, authorityFile), signed, publicMode), "authority")
}

func newTemplate(name string, lifetime time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "cannot generate serial number")
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name},
		NotBefore: now.Add(-time.Hour), NotAfter: now.Add(lifetime),
	}, nil
}

const (
	privateMode = 0o600
	publicMode  = 0o644
	folderMode  = 0o750
)

func writePair(folder, certName, keyName string, der []byte, key *ecdsa.PrivateKey) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return errors.Wrap(err, "cannot create folder of credentials")
	}
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return errors.Wrap(err, "cannot encode private key")
	}
	private := pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: secret})
	if err := os.WriteFile(filepath.Join(folder, keyName), private, privateMode); err != nil {
		return errors.Wrap(err, "cannot write private key")
	}
	public := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	return errors.Wrap(os.WriteFile(filepath.Join(folder, certName), public, publicMode), "certificate")
}
