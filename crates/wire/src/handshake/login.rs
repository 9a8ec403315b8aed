//! Authenticates callers.

use bytes::Bytes;
use pgwire::messages::startup::{Authentication, PasswordMessageFamily};
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage};

use crate::frame::{self, Frame};
use crate::handshake::{Error, LoginMethod};
use crate::scram;
use crate::stream::{Framed, Stream};

/// Authenticates a caller and feeds AuthenticationOk without flushing it, so that it is sent together with the messages
/// that follow.
pub(super) async fn authenticate(
    framed: &mut Framed<Stream>,
    user: &str,
    method: LoginMethod,
) -> Result<(), Error> {
    match method {
        LoginMethod::Trust => {}
        LoginMethod::Scram(verifier) => authenticate_scram(framed, user, verifier).await?,
        LoginMethod::Unknown { secret } => {
            authenticate_scram(framed, user, scram::Verifier::mock(&secret, user)).await?;
            // The mock verifier matches no known password, but an unknown user must be refused even if one matches.
            return Err(login_error(user, scram::server::Error::WrongPassword));
        }
    }
    framed.feed(&authentication_frame(Authentication::Ok));
    Ok(())
}

async fn authenticate_scram(
    framed: &mut Framed<Stream>,
    user: &str,
    verifier: scram::Verifier,
) -> Result<(), Error> {
    let mechanisms = vec![scram::MECHANISM.to_owned()];
    framed
        .send(&authentication_frame(Authentication::SASL(mechanisms)))
        .await?;
    let client_first = read_client_first(framed).await?;
    let exchange = scram::server::Exchange::new(verifier, scram::server::nonce());
    let challenged = exchange
        .challenge(&client_first)
        .map_err(|reason| login_error(user, reason))?;
    let message = Bytes::copy_from_slice(challenged.message().as_bytes());
    framed
        .send(&authentication_frame(Authentication::SASLContinue(message)))
        .await?;
    let client_final = read_client_final(framed).await?;
    let signature = challenged
        .finish(&client_final)
        .map_err(|reason| login_error(user, reason))?;
    let signature = Bytes::copy_from_slice(signature.as_bytes());
    framed.feed(&authentication_frame(Authentication::SASLFinal(signature)));
    Ok(())
}

async fn read_client_first(framed: &mut Framed<Stream>) -> Result<Bytes, Error> {
    let frame = read_password_frame(framed).await?;
    frame::check_initial_response(frame.body())?;
    let response = decode_password(&frame)?
        .into_sasl_initial_response()
        .map_err(frame::Error::Codec)?;
    if response.auth_method != scram::MECHANISM {
        return Err(Error::Protocol("the login method was not offered"));
    }
    response
        .data
        .ok_or(Error::Protocol("the first SCRAM message is missing"))
}

async fn read_client_final(framed: &mut Framed<Stream>) -> Result<Bytes, Error> {
    let frame = read_password_frame(framed).await?;
    let response = decode_password(&frame)?
        .into_sasl_response()
        .map_err(frame::Error::Codec)?;
    Ok(response.data)
}

async fn read_password_frame(framed: &mut Framed<Stream>) -> Result<Frame, Error> {
    let frame = framed.read_frame().await?.ok_or(Error::Closed)?;
    if frame.tag != frame::tag::frontend::PASSWORD {
        return Err(Error::Protocol("a password message was expected"));
    }
    Ok(frame)
}

fn decode_password(frame: &Frame) -> Result<PasswordMessageFamily, Error> {
    match frame.decode_frontend()? {
        PgWireFrontendMessage::PasswordMessageFamily(message) => Ok(message),
        _ => Err(Error::Protocol("a password message was expected")),
    }
}

fn authentication_frame(request: Authentication) -> Frame {
    frame::encode_backend(&PgWireBackendMessage::Authentication(request))
}

fn login_error(user: &str, reason: scram::server::Error) -> Error {
    Error::Login {
        user: user.into(),
        reason,
    }
}
