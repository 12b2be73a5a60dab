//! HTTP/1.1: parses requests and responses from byte buffers and writes them.

/// Largest head (start line and headers) of a request or a response.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Largest body of a request.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Largest body of a response to a call.
pub const MAX_RESPONSE_BYTES: usize = 64 * 1024;
/// Largest number of bytes in empty lines before a request.
const MAX_EMPTY_LINE_BYTES: usize = 64;
/// Largest number of header fields of a request or a response.
pub const MAX_HEADER_FIELDS: usize = 128;
/// Bytes of chunk framing that a response may have beyond as many as its body may have.
const MIN_CHUNK_FRAMING_BYTES: usize = 1024;
/// Largest number of interim (1xx) responses before the final one.
const MAX_INTERIM_RESPONSES: usize = 16;

/// Headers in order, with the names as sent.
#[derive(Debug, Default, PartialEq)]
pub struct Headers(Vec<(String, String)>);

impl Headers {
    /// The value of the first header with this name, ignoring case.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.iter().find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    fn has(&self, name: &str, token: &str) -> bool {
        let listed = |value: &String| value.split(',').any(|part| part.trim().eq_ignore_ascii_case(token));
        self.0.iter().any(|(known, value)| known.eq_ignore_ascii_case(name) && listed(value))
    }

    /// The body's length. Differing `Content-Length` values are an error, and so is a value that is not a
    /// number.
    fn length(&self) -> Result<Option<usize>, ()> {
        let mut length = None;
        for (_, value) in self.0.iter().filter(|(name, _)| name.eq_ignore_ascii_case("content-length")) {
            let digits = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
            let value: usize = value.parse().ok().filter(|_| digits).ok_or(())?;
            if length.replace(value).is_some_and(|other| other != value) {
                return Err(());
            }
        }
        Ok(length)
    }
}

/// A request.
#[derive(Debug, PartialEq)]
pub struct Request {
    /// The method, such as GET or POST.
    pub method: String,
    /// Path and query as sent.
    pub target: String,
    /// Its headers.
    pub headers: Headers,
    /// Its body.
    pub body: Vec<u8>,
    /// The connection closes after the response.
    pub close: bool,
}

/// The result of parsing.
#[derive(Debug, PartialEq)]
pub enum Parsed<T> {
    /// More bytes are needed.
    Partial {
        /// The peer waits for `100 Continue` before it sends the body.
        expects_continue: bool,
    },
    /// A complete message, and the number of bytes it used.
    Complete(T, usize),
    /// The message is malformed or too large; body_expected the status to respond with.
    Invalid(u16),
}

/// The offset of the empty line that ends a head. In the first `examined` bytes no head ends.
fn find_head_end(input: &[u8], examined: usize) -> Option<usize> {
    let from = examined.saturating_sub(3);
    let candidates = input.get(from..input.len().min(MAX_HEAD_BYTES + 3))?;
    candidates.windows(4).position(|four| four == b"\r\n\r\n").map(|at| from + at)
}

/// Parses the start line and headers; also returns the offset of the body. `None` while the head is
/// incomplete. In the first `examined` bytes no head ends.
fn parse_head(input: &[u8], examined: usize) -> Result<Option<(&str, Headers, usize)>, u16> {
    let Some(end) = find_head_end(input, examined) else {
        return if input.len() > MAX_HEAD_BYTES { Err(431) } else { Ok(None) };
    };
    let text = std::str::from_utf8(&input[..end]).map_err(|_| 400u16)?;
    let mut lines = text.split("\r\n");
    let start = lines.next().unwrap_or_default();
    let mut headers = Vec::new();
    for line in lines {
        if headers.len() == MAX_HEADER_FIELDS {
            return Err(431);
        }
        let (name, value) = line.split_once(':').ok_or(400u16)?;
        let token = |byte: u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte);
        if name.is_empty() || !name.bytes().all(token) || value.bytes().any(|byte| byte < 32 && byte != 9) {
            return Err(400);
        }
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
    Ok(Some((start, Headers(headers), end + 4)))
}

/// Parses a request from the front of `input`.
pub fn parse_request(input: &[u8]) -> Parsed<Request> {
    RequestParser::new(MAX_BODY_BYTES).parse(input)
}

/// Parses the requests of one connection. What was examined of an incomplete request is not examined again as
/// further bytes arrive, so a client that sends byte by byte costs as much as one that sends all at once.
#[derive(Clone, Copy, Debug)]
pub struct RequestParser {
    max_body: usize,
    /// A POST, PUT or PATCH needs a `Content-Length`; otherwise one without it has an empty body.
    length_required: bool,
    /// Bytes of the incomplete head in which no head ends.
    head_examined: usize,
    /// Length of the input at which the incomplete request is complete; 0 while it is not known.
    needed: usize,
}

impl RequestParser {
    /// Creates a parser of requests with bodies of at most `max_body` bytes.
    pub const fn new(max_body: usize) -> RequestParser {
        RequestParser { max_body, length_required: true, head_examined: 0, needed: 0 }
    }

    /// Like [`RequestParser::new`], but a POST, PUT or PATCH without `Content-Length` has an empty body.
    pub const fn without_required_length(max_body: usize) -> RequestParser {
        RequestParser { length_required: false, ..RequestParser::new(max_body) }
    }

    /// Changes the largest body.
    pub fn set_max_body(&mut self, max_body: usize) {
        self.max_body = max_body;
    }

    /// Parses a request from the front of `input`. Until it is complete, each call has to get the input of the
    /// call before with further bytes behind it.
    pub fn parse(&mut self, input: &[u8]) -> Parsed<Request> {
        if input.len() < self.needed {
            return Parsed::Partial { expects_continue: false };
        }
        let parsed = self.parse_from_start(input);
        if !matches!(parsed, Parsed::Partial { .. }) {
            (self.head_examined, self.needed) = (0, 0);
        }
        parsed
    }

    fn parse_from_start(&mut self, input: &[u8]) -> Parsed<Request> {
        // Empty lines before a request are ignored.
        let skipped = input.iter().take_while(|&&byte| byte == b'\r' || byte == b'\n').count();
        if skipped > MAX_EMPTY_LINE_BYTES {
            return Parsed::Invalid(400);
        }
        let input = &input[skipped..];
        let (start, headers, at) = match parse_head(input, self.head_examined) {
            Ok(Some(head)) => head,
            Ok(None) => {
                self.head_examined = input.len();
                return Parsed::Partial { expects_continue: false };
            }
            Err(status) => return Parsed::Invalid(status),
        };
        let mut words = start.split(' ');
        let (Some(method), Some(target), Some(version), None) =
            (words.next(), words.next(), words.next(), words.next())
        else {
            return Parsed::Invalid(400);
        };
        let http_1_0 = version == "HTTP/1.0";
        let method_ok = !method.is_empty() && method.bytes().all(|byte| byte.is_ascii_uppercase());
        if !method_ok || !(http_1_0 || version == "HTTP/1.1") || !target.starts_with('/') {
            return Parsed::Invalid(400);
        }
        let length = match self.body_length(method, &headers) {
            Ok(length) => length,
            Err(status) => return Parsed::Invalid(status),
        };
        let Some(body) = input.get(at..at + length) else {
            self.needed = skipped + at + length;
            return Parsed::Partial { expects_continue: headers.has("expect", "100-continue") };
        };
        let close =
            headers.has("connection", "close") || http_1_0 && !headers.has("connection", "keep-alive");
        let (method, target, body) = (method.to_owned(), target.to_owned(), body.to_vec());
        Parsed::Complete(Request { method, target, headers, body, close }, skipped + at + length)
    }

    /// The length of a request's body, or the status that rejects the request.
    fn body_length(&self, method: &str, headers: &Headers) -> Result<usize, u16> {
        let body_expected = self.length_required && matches!(method, "POST" | "PUT" | "PATCH");
        let length = headers.length().map_err(|()| 400u16)?;
        // With both headers, another parser may find a different end of the body: what follows could be
        // smuggled in as a request of its own.
        if headers.get("transfer-encoding").is_some() && length.is_some() {
            return Err(400);
        }
        if headers.get("transfer-encoding").is_some() || body_expected && length.is_none() {
            return Err(411);
        }
        let length = length.unwrap_or(0);
        if length > self.max_body {
            return Err(413);
        }
        Ok(length)
    }
}

/// A response.
#[derive(Debug, PartialEq)]
pub struct Response {
    /// Its status.
    pub status: u16,
    /// Its headers.
    pub headers: Headers,
    /// Its body.
    pub body: Vec<u8>,
    /// The connection closes after it.
    pub close: bool,
}

/// The status of the final response once its status line is complete; interim responses are skipped.
pub fn response_status(mut input: &[u8]) -> Option<u16> {
    for _ in 0..=MAX_INTERIM_RESPONSES {
        let end = input.iter().position(|&byte| byte == b'\n')?;
        let status = parse_status(std::str::from_utf8(&input[..end]).ok()?.trim_end())?;
        if status >= 200 {
            return Some(status);
        }
        input = &input[input.windows(4).position(|four| four == b"\r\n\r\n")? + 4..];
    }
    None
}

/// The complete header lines of the final response, even if its head is incomplete; interim responses are
/// skipped. Empty if the input is not a response.
pub fn complete_headers(mut input: &[u8]) -> Headers {
    for _ in 0..=MAX_INTERIM_RESPONSES {
        let Some(line_end) = input.iter().position(|&byte| byte == b'\n') else { break };
        let start = std::str::from_utf8(&input[..line_end]).map(str::trim_end);
        match start.ok().and_then(parse_status) {
            Some(100..200) => match input.windows(4).position(|four| four == b"\r\n\r\n") {
                Some(end) => input = &input[end + 4..],
                None => break,
            },
            Some(_) => return parse_complete_lines(&input[line_end + 1..]),
            None => break,
        }
    }
    Headers::default()
}

/// Parses the complete lines of a head, up to its end or to the first malformed line.
fn parse_complete_lines(head: &[u8]) -> Headers {
    let head = &head[..head.len().min(MAX_HEAD_BYTES)];
    let whole = head.split_inclusive(|&byte| byte == b'\n').map_while(|line| line.strip_suffix(b"\r\n"));
    let headers = whole.take(MAX_HEADER_FIELDS).map_while(|line| {
        let (name, value) = std::str::from_utf8(line).ok()?.split_once(':')?;
        Some((name.to_owned(), value.trim().to_owned()))
    });
    Headers(headers.collect())
}

/// Whether the input may still become a response. Noise fails on its first bytes.
fn may_be_response(input: &[u8]) -> bool {
    input.iter().zip(b"HTTP/1.").all(|(byte, wanted)| byte == wanted)
}

fn parse_status(line: &str) -> Option<u16> {
    let rest = line.strip_prefix("HTTP/1.1 ").or_else(|| line.strip_prefix("HTTP/1.0 "))?;
    let code = rest.split(' ').next()?;
    code.parse().ok().filter(|number: &u16| code.len() == 3 && *number >= 100)
}

/// Parses a response from the front of `input` with a body of at most `max_body` bytes; `ended` means that no
/// more bytes will come. Interim responses are skipped.
pub fn parse_response(input: &[u8], ended: bool, max_body: usize) -> Parsed<Response> {
    let mut skipped = 0;
    for _ in 0..=MAX_INTERIM_RESPONSES {
        let rest = &input[skipped..];
        if !may_be_response(rest) {
            break;
        }
        let (start, headers, at) = match parse_head(rest, 0) {
            Ok(Some(head)) => head,
            Ok(None) if !ended => return Parsed::Partial { expects_continue: false },
            _ => break,
        };
        match parse_status(start) {
            Some(100..200) => skipped += at,
            Some(status) => {
                return match parse_final_response(status, headers, &rest[at..], ended, max_body) {
                    Parsed::Complete(answer, used) => Parsed::Complete(answer, skipped + at + used),
                    other => other,
                };
            }
            None => break,
        }
    }
    Parsed::Invalid(400)
}

/// Parses the rest of a response after its head: finds the body's length and whether it is complete.
fn parse_final_response(
    status: u16,
    headers: Headers,
    rest: &[u8],
    ended: bool,
    max_body: usize,
) -> Parsed<Response> {
    let Ok(length) = headers.length() else { return Parsed::Invalid(400) };
    let (body, used, mut close) = if status == 204 || status == 304 {
        (Vec::new(), 0, false)
    } else if headers.has("transfer-encoding", "chunked") {
        match parse_chunks(rest, max_body) {
            Ok(Some((body, used))) => (body, used, false),
            Ok(None) if !ended => return Parsed::Partial { expects_continue: false },
            _ => return Parsed::Invalid(400),
        }
    } else if let Some(length) = length {
        if length > max_body {
            return Parsed::Invalid(400);
        }
        match rest.get(..length) {
            Some(body) => (body.to_vec(), length, false),
            None if ended => return Parsed::Invalid(400),
            None => return Parsed::Partial { expects_continue: false },
        }
    } else if rest.len() > max_body {
        return Parsed::Invalid(400);
    } else if ended {
        (rest.to_vec(), rest.len(), true)
    } else {
        return Parsed::Partial { expects_continue: false };
    };
    close |= headers.has("connection", "close");
    Parsed::Complete(Response { status, headers, body, close }, used)
}

/// A chunked body and the number of bytes it used; `None` while it is incomplete.
fn parse_chunks(input: &[u8], max_body: usize) -> Result<Option<(Vec<u8>, usize)>, ()> {
    let (mut body, mut at) = (Vec::new(), 0);
    loop {
        let Some(end) = input[at..].windows(2).position(|two| two == b"\r\n") else {
            return if input.len() - at > 1024 { Err(()) } else { Ok(None) };
        };
        let line = std::str::from_utf8(&input[at..at + end]).map_err(|_| ())?;
        let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16).map_err(|_| ())?;
        if body.len().saturating_add(size) > max_body {
            return Err(());
        }
        at += end + 2;
        let Some(part) = input.get(at..at + size + 2) else { return Ok(None) };
        if !part.ends_with(b"\r\n") {
            return Err(());
        }
        body.extend(&part[..size]);
        at += size + 2;
        if at - body.len() > max_body + MIN_CHUNK_FRAMING_BYTES {
            return Err(());
        }
        if size == 0 {
            return Ok(Some((body, at)));
        }
    }
}

/// Writes a response.
pub fn write_response(status: u16, headers: &[(&str, &str)], body: &[u8], close: bool) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status));
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    if status != 204 {
        out.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    out.push_str(if close { "Connection: close\r\n\r\n" } else { "\r\n" });
    let mut out = out.into_bytes();
    out.extend(body);
    out
}

/// Writes a request; `headers` are complete lines, each with its CRLF.
pub fn write_request(method: &str, target: &str, host: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = if method == "GET" { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    let mut out = format!("{method} {target} HTTP/1.1\r\nHost: {host}\r\n{headers}{length}\r\n").into_bytes();
    out.extend(body);
    out
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        100 => "Continue",
        200 => "OK",
        202 => "Accepted",
        204 => "No Content",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        410 => "Gone",
        411 => "Length Required",
        412 => "Precondition Failed",
        413 => "Content Too Large",
        422 => "Unprocessable Content",
        428 => "Precondition Required",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        507 => "Insufficient Storage",
        _ => "Error",
    }
}

#[cfg(test)]
mod tests;
