//! Requests and responses as handlers see them: whole, with their body in memory.

use percent_encoding::percent_decode_str;
use serde::Serialize;

use crate::adapter::BodyError;

/// A request with its body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    method: String,
    target: String,
    headers: Vec<(String, String)>,
    body: Result<Vec<u8>, BodyError>,
}

/// A response with its body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status_code: u16,
    /// The names and values of the headers.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Request {
    /// Returns a request. `target` is its path and query.
    #[must_use]
    pub fn new(
        method: impl Into<String>,
        target: impl Into<String>,
        headers: Vec<(String, String)>,
        body: Vec<u8>,
    ) -> Self {
        Self { method: method.into(), target: target.into(), headers, body: Ok(body) }
    }

    /// Replaces the body by the reason why it cannot be read.
    pub(super) fn set_body(&mut self, body: Result<Vec<u8>, BodyError>) {
        self.body = body;
    }

    /// Returns the method.
    #[must_use]
    pub fn method(&self) -> &str {
        &self.method
    }

    /// Returns the path and query as received.
    #[must_use]
    pub fn raw_url(&self) -> &str {
        &self.target
    }

    /// Returns the path without percent-encoding.
    #[must_use]
    pub fn url(&self) -> String {
        let path = self.target.split('?').next().unwrap_or_default();
        percent_decode_str(path).decode_utf8_lossy().into_owned()
    }

    /// Returns the value of the first header of a name, in any case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers().find(|(other, _)| other.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }

    /// Returns the names and values of all headers.
    pub fn headers(&self) -> impl Iterator<Item = (&str, &str)> {
        self.headers.iter().map(|(name, value)| (name.as_str(), value.as_str()))
    }

    /// Returns the value of a parameter of the query, without percent-encoding.
    #[must_use]
    pub fn get_param(&self, name: &str) -> Option<String> {
        let (_, query) = self.target.split_once('?')?;
        let mut pairs = query.split('&').map(|pair| pair.split_once('=').unwrap_or((pair, "")));
        let (_, value) = pairs.find(|(other, _)| *other == name)?;
        let text = value.replace('+', " ");
        Some(percent_decode_str(&text).decode_utf8_lossy().into_owned())
    }

    /// Returns the body; a request without one has an empty body.
    ///
    /// # Errors
    ///
    /// Returns [`BodyError`] if the body is too large or truncated.
    pub fn body(&self) -> Result<&[u8], BodyError> {
        self.body.as_deref().map_err(|&error| error)
    }
}

impl Response {
    /// Returns a 200 response with a text.
    #[must_use]
    pub fn text(text: impl Into<String>) -> Self {
        Self::from_data("text/plain; charset=utf-8", text.into())
    }

    /// Returns a 200 response with a body of a content type.
    #[must_use]
    pub fn from_data(content_type: &str, data: impl Into<Vec<u8>>) -> Self {
        let headers = vec![("Content-Type".to_owned(), content_type.to_owned())];
        Self { status_code: 200, headers, body: data.into() }
    }

    /// Returns a 200 response with a value as JSON.
    ///
    /// # Panics
    ///
    /// Panics if the value has no JSON form, such as a map whose keys are not texts.
    #[must_use]
    pub fn json<T: Serialize>(value: &T) -> Self {
        let text = serde_json::to_vec(value).expect("a value with a JSON form");
        Self::from_data("application/json; charset=utf-8", text)
    }

    /// Returns a 400 response without a body.
    #[must_use]
    pub fn empty_400() -> Self {
        Self::text("").with_status_code(400)
    }

    /// Returns a 404 response without a body.
    #[must_use]
    pub fn empty_404() -> Self {
        Self::text("").with_status_code(404)
    }

    /// Returns the response with another status code.
    #[must_use]
    pub fn with_status_code(mut self, status_code: u16) -> Self {
        self.status_code = status_code;
        self
    }

    /// Returns the response with one more header.
    #[must_use]
    pub fn with_additional_header(
        mut self,
        name: impl Into<String>,
        value: impl Into<String>,
    ) -> Self {
        self.headers.push((name.into(), value.into()));
        self
    }
}
