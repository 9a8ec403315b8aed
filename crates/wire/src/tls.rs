//! TLS acceptors and connectors configured from PEM files.

use std::path::Path;
use std::sync::Arc;

use rustls::crypto::{CryptoProvider, ring};
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use rustls_pki_types::pem::{self, PemObject};
use rustls_pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_rustls::{TlsAcceptor, TlsConnector};

use crate::stream::Stream;

/// Error of loading TLS files or of a TLS handshake.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file could not be read, or contains malformed PEM data or no private key.
    #[error("{path}: {source}")]
    File {
        /// Path of the file.
        path: Box<str>,
        /// Error of reading or parsing the file.
        source: pem::Error,
    },
    /// A file contains no certificate.
    #[error("{path}: the file contains no certificate")]
    NoCertificate {
        /// Path of the file.
        path: Box<str>,
    },
    /// Rustls rejected the certificates or the private key, such as a key that does not belong to the certificate.
    #[error(transparent)]
    Rustls(#[from] rustls::Error),
    /// The configured name of the databases is neither a host name nor an IP address.
    #[error("{name} is neither a host name nor an IP address")]
    Name {
        /// Name as configured.
        name: Box<str>,
    },
    /// The TLS handshake with the peer failed, or the connection was lost during the handshake.
    #[error("TLS handshake: {0}")]
    Handshake(#[from] std::io::Error),
}

/// Accepts TLS connections from callers.
#[derive(Clone)]
pub struct Acceptor {
    acceptor: TlsAcceptor,
}

impl Acceptor {
    /// Creates an acceptor from the PEM files of the certificate chain and the private key.
    pub fn from_files(chain: &Path, key: &Path) -> Result<Acceptor, Error> {
        let chain = read_certificates(chain)?;
        let key = PrivateKeyDer::from_pem_file(key).map_err(|source| file_error(key, source))?;
        let config = ServerConfig::builder_with_provider(provider())
            .with_safe_default_protocol_versions()?
            .with_no_client_auth()
            .with_single_cert(chain, key)?;
        Ok(Acceptor {
            acceptor: TlsAcceptor::from(Arc::new(config)),
        })
    }

    /// Runs the server side of the TLS handshake with a caller.
    pub async fn accept<T>(&self, stream: T) -> Result<Stream<T>, Error>
    where
        T: AsyncRead + AsyncWrite + Unpin,
    {
        let stream = self.acceptor.accept(stream).await?;
        Ok(Stream::Server(Box::new(stream)))
    }
}

/// Opens TLS connections to databases.
#[derive(Clone)]
pub struct Connector {
    connector: TlsConnector,
    name: Option<ServerName<'static>>,
}

impl Connector {
    /// Creates a connector that trusts the root certificates in a PEM file.
    ///
    /// The certificate of a database must be valid for `name`, or for the IP address of the database if `name` is
    /// `None`.
    pub fn from_file(roots: &Path, name: Option<&str>) -> Result<Connector, Error> {
        let mut store = RootCertStore::empty();
        for certificate in read_certificates(roots)? {
            store.add(certificate)?;
        }
        let config = ClientConfig::builder_with_provider(provider())
            .with_safe_default_protocol_versions()?
            .with_root_certificates(store)
            .with_no_client_auth();
        Ok(Connector {
            connector: TlsConnector::from(Arc::new(config)),
            name: name.map(parse_server_name).transpose()?,
        })
    }

    /// Runs the client side of the TLS handshake with the database at `address`.
    pub async fn connect<T>(
        &self,
        address: std::net::SocketAddr,
        stream: T,
    ) -> Result<Stream<T>, Error>
    where
        T: AsyncRead + AsyncWrite + Unpin,
    {
        let name = match &self.name {
            Some(name) => name.clone(),
            None => ServerName::IpAddress(address.ip().into()),
        };
        let stream = self.connector.connect(name, stream).await?;
        Ok(Stream::Client(Box::new(stream)))
    }
}

fn provider() -> Arc<CryptoProvider> {
    Arc::new(ring::default_provider())
}

fn parse_server_name(name: &str) -> Result<ServerName<'static>, Error> {
    ServerName::try_from(name.to_owned()).map_err(|_| Error::Name { name: name.into() })
}

fn read_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, Error> {
    let certificates = CertificateDer::pem_file_iter(path)
        .and_then(|certificates| certificates.collect::<Result<Vec<_>, _>>())
        .map_err(|source| file_error(path, source))?;
    if certificates.is_empty() {
        return Err(Error::NoCertificate {
            path: path_text(path),
        });
    }
    Ok(certificates)
}

fn file_error(path: &Path, source: pem::Error) -> Error {
    Error::File {
        path: path_text(path),
        source,
    }
}

fn path_text(path: &Path) -> Box<str> {
    path.display().to_string().into()
}
