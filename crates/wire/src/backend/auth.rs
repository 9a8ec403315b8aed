//! The client side of a login: without a password, with a cleartext password, or with SCRAM-SHA-256.

use bytes::Bytes;
use pgwire::messages::startup::{
    Authentication, Password, PasswordMessageFamily, SASLInitialResponse, SASLResponse,
};
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage};
use postgres_protocol::authentication::sasl;

use crate::backend::{Credentials, Error};
use crate::frame;
use crate::scram;
use crate::stream::{Framed, Stream};

/// Answers the database's authentication requests until AuthenticationOk.
pub(super) async fn authenticate(
    framed: &mut Framed<Stream>,
    credentials: &Credentials,
) -> Result<(), Error> {
    loop {
        match read_request(framed).await? {
            Authentication::Ok => return Ok(()),
            Authentication::CleartextPassword => {
                let password = Password::new(password(credentials)?.into());
                send(framed, PasswordMessageFamily::Password(password)).await?;
            }
            Authentication::SASL(mechanisms) => {
                authenticate_scram(framed, credentials, &mechanisms).await?
            }
            other => return Err(Error::Method(method_name(&other).into())),
        }
    }
}

async fn authenticate_scram(
    framed: &mut Framed<Stream>,
    credentials: &Credentials,
    mechanisms: &[String],
) -> Result<(), Error> {
    if !mechanisms.iter().any(|name| name == scram::MECHANISM) {
        return Err(Error::Method(mechanisms.join(", ").into()));
    }
    let password = password(credentials)?;
    let binding = sasl::ChannelBinding::unsupported();
    let mut client = sasl::ScramSha256::new(password.as_bytes(), binding);
    let client_first = Bytes::copy_from_slice(client.message());
    let response = SASLInitialResponse::new(scram::MECHANISM.into(), Some(client_first));
    send(framed, PasswordMessageFamily::SASLInitialResponse(response)).await?;
    let Authentication::SASLContinue(challenge) = read_request(framed).await? else {
        return Err(out_of_order());
    };
    client.update(&challenge).map_err(Error::Scram)?;
    let proof = SASLResponse::new(Bytes::copy_from_slice(client.message()));
    send(framed, PasswordMessageFamily::SASLResponse(proof)).await?;
    let Authentication::SASLFinal(signature) = read_request(framed).await? else {
        return Err(out_of_order());
    };
    client.finish(&signature).map_err(Error::Scram)
}

fn password(credentials: &Credentials) -> Result<&str, Error> {
    credentials.password.as_deref().ok_or(Error::NoPassword)
}

fn out_of_order() -> Error {
    Error::Scram(std::io::Error::other(
        "the database sent an authentication request out of order",
    ))
}

/// Reads the next authentication request. Returns an error that the database reports instead.
async fn read_request(framed: &mut Framed<Stream>) -> Result<Authentication, Error> {
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
    framed.send(&frame::try_encode_frontend(&message)?).await?;
    Ok(())
}

fn method_name(request: &Authentication) -> &'static str {
    match request {
        Authentication::KerberosV5 => "Kerberos V5",
        Authentication::MD5Password(_) => "MD5",
        _ => "SASL out of order",
    }
}
