//! TLS acceptors and connectors from PEM files.

use std::path::Path;
use std::sync::Arc;

use rustls::crypto::{CryptoProvider, ring};
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use rustls_pki_types::pem::{self, PemObject};
use rustls_pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_rustls::{TlsAcceptor, TlsConnector};

use crate::stream::Stream;

/// Why TLS files could not be used or a TLS handshake failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file could not be read or holds no PEM data of the kind asked for.
    #[error("{path}: {source}")]
    File {
        /// The file.
        path: Box<str>,
        /// What was wrong with it.
        source: pem::Error,
    },
    /// A file holds no certificate.
    #[error("{path}: no certificate")]
    NoCertificate {
        /// The file.
        path: Box<str>,
    },
    /// The certificates or the key don't fit, or the peer's don't.
    #[error(transparent)]
    Rustls(#[from] rustls::Error),
    /// The name of the database is no host name or address.
    #[error("{name} is no host name or address")]
    Name {
        /// The name.
        name: Box<str>,
    },
    /// The handshake failed.
    #[error("TLS handshake: {0}")]
    Handshake(#[from] std::io::Error),
}

/// Accepts TLS from callers.
#[derive(Clone)]
pub struct Acceptor {
    acceptor: TlsAcceptor,
}

impl Acceptor {
    /// An acceptor with the certificate chain and the private key of two PEM files.
    pub fn from_files(chain: &Path, key: &Path) -> Result<Acceptor, Error> {
        let chain = certificates(chain)?;
        let key = PrivateKeyDer::from_pem_file(key).map_err(|source| file_error(key, source))?;
        let config = ServerConfig::builder_with_provider(provider())
            .with_safe_default_protocol_versions()?
            .with_no_client_auth()
            .with_single_cert(chain, key)?;
        Ok(Acceptor {
            acceptor: TlsAcceptor::from(Arc::new(config)),
        })
    }

    /// Runs the TLS handshake with a caller.
    pub async fn accept<T>(&self, stream: T) -> Result<Stream<T>, Error>
    where
        T: AsyncRead + AsyncWrite + Unpin,
    {
        let stream = self.acceptor.accept(stream).await?;
        Ok(Stream::Server(Box::new(stream)))
    }
}

/// Opens TLS to databases.
#[derive(Clone)]
pub struct Connector {
    connector: TlsConnector,
    name: Option<ServerName<'static>>,
}

impl Connector {
    /// A connector that trusts the certificates of a PEM file. The databases are verified by `name`, or by their
    /// address when there is none.
    pub fn from_file(roots: &Path, name: Option<&str>) -> Result<Connector, Error> {
        let mut store = RootCertStore::empty();
        for certificate in certificates(roots)? {
            store.add(certificate)?;
        }
        let config = ClientConfig::builder_with_provider(provider())
            .with_safe_default_protocol_versions()?
            .with_root_certificates(store)
            .with_no_client_auth();
        Ok(Connector {
            connector: TlsConnector::from(Arc::new(config)),
            name: name.map(server_name).transpose()?,
        })
    }

    /// Runs the TLS handshake with the database at `address`.
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

fn server_name(name: &str) -> Result<ServerName<'static>, Error> {
    ServerName::try_from(name.to_owned()).map_err(|_| Error::Name { name: name.into() })
}

fn certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, Error> {
    let certificates = CertificateDer::pem_file_iter(path)
        .and_then(|certificates| certificates.collect::<Result<Vec<_>, _>>())
        .map_err(|source| file_error(path, source))?;
    if certificates.is_empty() {
        return Err(Error::NoCertificate { path: text(path) });
    }
    Ok(certificates)
}

fn file_error(path: &Path, source: pem::Error) -> Error {
    Error::File {
        path: text(path),
        source,
    }
}

fn text(path: &Path) -> Box<str> {
    path.display().to_string().into()
}
