//! The login of a caller.

use bytes::Bytes;
use pgwire::messages::startup::{Authentication, PasswordMessageFamily};
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage};

use crate::frame::{self, Frame};
use crate::handshake::{Error, Login};
use crate::scram;
use crate::stream::{Framed, Stream};

/// Logs a caller in and sends AuthenticationOk, not flushed: what follows goes with it.
pub(super) async fn authenticate(
    framed: &mut Framed<Stream>,
    user: &str,
    login: Login,
) -> Result<(), Error> {
    match login {
        Login::Trust => {}
        Login::Scram(verifier) => scram(framed, user, verifier).await?,
        Login::Unknown { secret } => {
            scram(framed, user, scram::Verifier::mock(&secret, user)).await?;
            // No password fits the mock verifier; should one do, the user is unknown all the same.
            return Err(failed(user, scram::server::Error::WrongPassword));
        }
    }
    framed.feed(&request(Authentication::Ok));
    Ok(())
}

async fn scram(
    framed: &mut Framed<Stream>,
    user: &str,
    verifier: scram::Verifier,
) -> Result<(), Error> {
    let mechanisms = vec![scram::MECHANISM.to_owned()];
    framed
        .send(&request(Authentication::SASL(mechanisms)))
        .await?;
    let first = client_first(framed).await?;
    let exchange = scram::server::Exchange::new(verifier, scram::server::nonce());
    let challenged = exchange
        .challenge(&first)
        .map_err(|reason| failed(user, reason))?;
    let message = Bytes::copy_from_slice(challenged.message().as_bytes());
    framed
        .send(&request(Authentication::SASLContinue(message)))
        .await?;
    let proof = client_final(framed).await?;
    let signature = challenged
        .finish(&proof)
        .map_err(|reason| failed(user, reason))?;
    let signature = Bytes::copy_from_slice(signature.as_bytes());
    framed.feed(&request(Authentication::SASLFinal(signature)));
    Ok(())
}

async fn client_first(framed: &mut Framed<Stream>) -> Result<Bytes, Error> {
    let frame = password_frame(framed).await?;
    frame::check_initial_response(frame.body())?;
    let response = password(&frame)?
        .into_sasl_initial_response()
        .map_err(frame::Error::Codec)?;
    if response.auth_method != scram::MECHANISM {
        return Err(Error::Protocol("the login method was not offered"));
    }
    response
        .data
        .ok_or(Error::Protocol("the first SCRAM message is missing"))
}

async fn client_final(framed: &mut Framed<Stream>) -> Result<Bytes, Error> {
    let frame = password_frame(framed).await?;
    let response = password(&frame)?
        .into_sasl_response()
        .map_err(frame::Error::Codec)?;
    Ok(response.data)
}

async fn password_frame(framed: &mut Framed<Stream>) -> Result<Frame, Error> {
    let frame = framed.read_frame().await?.ok_or(Error::Closed)?;
    if frame.tag != frame::tag::frontend::PASSWORD {
        return Err(Error::Protocol("a password message was expected"));
    }
    Ok(frame)
}

fn password(frame: &Frame) -> Result<PasswordMessageFamily, Error> {
    match frame.decode_frontend()? {
        PgWireFrontendMessage::PasswordMessageFamily(message) => Ok(message),
        _ => Err(Error::Protocol("a password message was expected")),
    }
}

fn request(request: Authentication) -> Frame {
    frame::backend(&PgWireBackendMessage::Authentication(request))
}

fn failed(user: &str, reason: scram::server::Error) -> Error {
    Error::Login {
        user: user.into(),
        reason,
    }
}
