//! The client's side of a login: no password, a clear one, or SCRAM-SHA-256.

use bytes::Bytes;
use pgwire::messages::startup::{
    Authentication, Password, PasswordMessageFamily, SASLInitialResponse, SASLResponse,
};
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage};
use postgres_protocol::authentication::sasl;

use crate::backend::{Error, Login};
use crate::frame;
use crate::scram;
use crate::stream::{Framed, Stream};

/// Answers the database's authentication requests until it says that the login is done.
pub(super) async fn authenticate(framed: &mut Framed<Stream>, login: &Login) -> Result<(), Error> {
    loop {
        match request(framed).await? {
            Authentication::Ok => return Ok(()),
            Authentication::CleartextPassword => {
                let password = Password::new(password(login)?.into());
                send(framed, PasswordMessageFamily::Password(password)).await?;
            }
            Authentication::SASL(mechanisms) => scram(framed, login, &mechanisms).await?,
            other => return Err(Error::Method(method(&other).into())),
        }
    }
}

async fn scram(
    framed: &mut Framed<Stream>,
    login: &Login,
    mechanisms: &[String],
) -> Result<(), Error> {
    if !mechanisms.iter().any(|name| name == scram::MECHANISM) {
        return Err(Error::Method(mechanisms.join(", ").into()));
    }
    let password = password(login)?;
    let binding = sasl::ChannelBinding::unsupported();
    let mut client = sasl::ScramSha256::new(password.as_bytes(), binding);
    let first = Bytes::copy_from_slice(client.message());
    let first = SASLInitialResponse::new(scram::MECHANISM.into(), Some(first));
    send(framed, PasswordMessageFamily::SASLInitialResponse(first)).await?;
    let Authentication::SASLContinue(challenge) = request(framed).await? else {
        return Err(out_of_order());
    };
    client.update(&challenge).map_err(Error::Scram)?;
    let proof = SASLResponse::new(Bytes::copy_from_slice(client.message()));
    send(framed, PasswordMessageFamily::SASLResponse(proof)).await?;
    let Authentication::SASLFinal(signature) = request(framed).await? else {
        return Err(out_of_order());
    };
    client.finish(&signature).map_err(Error::Scram)
}

fn password(login: &Login) -> Result<&str, Error> {
    login.password.as_deref().ok_or(Error::NoPassword)
}

fn out_of_order() -> Error {
    Error::Scram(std::io::Error::other("the database left the exchange"))
}

/// The next authentication request; an error of the database is passed on.
async fn request(framed: &mut Framed<Stream>) -> Result<Authentication, Error> {
    loop {
        let frame = framed.read_frame().await?.ok_or(Error::Closed)?;
        match frame.decode_backend()? {
            PgWireBackendMessage::Authentication(request) => return Ok(request),
            PgWireBackendMessage::ErrorResponse(error) => {
                return Err(Error::Database(error.into()));
            }
            PgWireBackendMessage::NoticeResponse(_)
            | PgWireBackendMessage::NegotiateProtocolVersion(_) => {}
            _ => return Err(Error::Unexpected { tag: frame.tag }),
        }
    }
}

async fn send(framed: &mut Framed<Stream>, message: PasswordMessageFamily) -> Result<(), Error> {
    let message = PgWireFrontendMessage::PasswordMessageFamily(message);
    framed.send(&frame::try_frontend(&message)?).await?;
    Ok(())
}

fn method(request: &Authentication) -> &'static str {
    match request {
        Authentication::KerberosV5 => "Kerberos V5",
        Authentication::MD5Password(_) => "MD5",
        _ => "SASL out of order",
    }
}
