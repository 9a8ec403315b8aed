//! Plain and TLS byte streams to callers and databases, and frames over them.

mod framed;

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio_rustls::{client, server};

pub use framed::{Framed, Part};

/// A byte stream over `T`, with or without TLS. The TLS variants are boxed to keep plain streams small.
#[derive(Debug)]
pub enum Stream<T = TcpStream> {
    /// An unencrypted stream.
    Plain(T),
    /// A TLS stream on which the proxy is the server and a caller the client.
    Server(Box<server::TlsStream<T>>),
    /// A TLS stream on which the proxy is the client and a database the server.
    Client(Box<client::TlsStream<T>>),
}

impl<T> Stream<T> {
    /// Returns whether the stream uses TLS.
    pub fn is_encrypted(&self) -> bool {
        !matches!(self, Stream::Plain(_))
    }

    /// Returns the underlying stream.
    pub fn get_ref(&self) -> &T {
        match self {
            Stream::Plain(stream) => stream,
            Stream::Server(stream) => stream.get_ref().0,
            Stream::Client(stream) => stream.get_ref().0,
        }
    }
}

impl<T: AsyncRead + AsyncWrite + Unpin> AsyncRead for Stream<T> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Stream::Plain(stream) => Pin::new(stream).poll_read(context, buffer),
            Stream::Server(stream) => Pin::new(stream).poll_read(context, buffer),
            Stream::Client(stream) => Pin::new(stream).poll_read(context, buffer),
        }
    }
}

impl<T: AsyncRead + AsyncWrite + Unpin> AsyncWrite for Stream<T> {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Stream::Plain(stream) => Pin::new(stream).poll_write(context, bytes),
            Stream::Server(stream) => Pin::new(stream).poll_write(context, bytes),
            Stream::Client(stream) => Pin::new(stream).poll_write(context, bytes),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Stream::Plain(stream) => Pin::new(stream).poll_flush(context),
            Stream::Server(stream) => Pin::new(stream).poll_flush(context),
            Stream::Client(stream) => Pin::new(stream).poll_flush(context),
        }
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Stream::Plain(stream) => Pin::new(stream).poll_shutdown(context),
            Stream::Server(stream) => Pin::new(stream).poll_shutdown(context),
            Stream::Client(stream) => Pin::new(stream).poll_shutdown(context),
        }
    }
}
