//! Wire format of AMQP 0-9-1: frames, method arguments and content properties, for both sides of a
//! connection.

use std::rc::Rc;

/// Protocol header that a client sends first.
pub const PROTOCOL: &[u8; 8] = b"AMQP\x00\x00\x09\x01";
/// Largest frame that this implementation sends or accepts.
pub const FRAME_MAX: u32 = 131_072;
/// Bytes of a frame besides its payload: type, channel, size and end marker.
const FRAME_OVERHEAD: usize = 8;
const FRAME_END: u8 = 0xCE;
/// Largest number of fields in a table and the tables in it: a field takes far more memory than its bytes.
const MAX_TABLE_FIELDS: usize = 512;

/// Class id and method id.
pub type Method = (u16, u16);

/// The supported methods.
#[allow(missing_docs)]
pub mod method {
    use super::Method;
    pub const START: Method = (10, 10);
    pub const START_OK: Method = (10, 11);
    pub const TUNE: Method = (10, 30);
    pub const TUNE_OK: Method = (10, 31);
    pub const OPEN: Method = (10, 40);
    pub const OPEN_OK: Method = (10, 41);
    pub const CLOSE: Method = (10, 50);
    pub const CLOSE_OK: Method = (10, 51);
    pub const CHANNEL_OPEN: Method = (20, 10);
    pub const CHANNEL_OPEN_OK: Method = (20, 11);
    pub const CHANNEL_FLOW: Method = (20, 20);
    pub const CHANNEL_FLOW_OK: Method = (20, 21);
    pub const CHANNEL_CLOSE: Method = (20, 40);
    pub const CHANNEL_CLOSE_OK: Method = (20, 41);
    pub const QUEUE_DECLARE: Method = (50, 10);
    pub const QUEUE_DECLARE_OK: Method = (50, 11);
    pub const QUEUE_DELETE: Method = (50, 40);
    pub const QUEUE_DELETE_OK: Method = (50, 41);
    pub const QOS: Method = (60, 10);
    pub const QOS_OK: Method = (60, 11);
    pub const CONSUME: Method = (60, 20);
    pub const CONSUME_OK: Method = (60, 21);
    pub const CANCEL: Method = (60, 30);
    pub const CANCEL_OK: Method = (60, 31);
    pub const PUBLISH: Method = (60, 40);
    pub const RETURN: Method = (60, 50);
    pub const DELIVER: Method = (60, 60);
    pub const GET: Method = (60, 70);
    pub const GET_OK: Method = (60, 71);
    pub const GET_EMPTY: Method = (60, 72);
    pub const ACK: Method = (60, 80);
    pub const REJECT: Method = (60, 90);
    pub const NACK: Method = (60, 120);
    pub const CONFIRM_SELECT: Method = (85, 10);
    pub const CONFIRM_SELECT_OK: Method = (85, 11);
}

/// A protocol error: a standard reply code and a text, sent in a close method.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault(pub u16, pub String);

/// Returns a [`Fault`] as an error.
pub fn fault<T>(code: u16, text: &str) -> Result<T, Fault> {
    Err(Fault(code, text.to_owned()))
}

/// Content of a frame.
#[derive(Clone, Debug, PartialEq)]
pub enum Content {
    /// A method with its arguments.
    Method(Method, Vec<u8>),
    /// A content header: the body size and the properties.
    Header(u64, Properties),
    /// A part of a content body.
    Body(Vec<u8>),
    /// A heartbeat.
    Heartbeat,
}

/// A frame.
#[derive(Clone, Debug, PartialEq)]
pub struct Frame {
    /// Its channel; 0 is the connection itself.
    pub channel: u16,
    /// Its content.
    pub content: Content,
}

/// Reads a frame from the start of `input`. Returns it with the number of bytes consumed, or none if it is
/// incomplete.
pub fn read_frame(input: &[u8], frame_max: u32) -> Result<Option<(Frame, usize)>, Fault> {
    let mut head = Args(input);
    let (Ok(kind), Ok(channel), Ok(size)) = (head.octet(), head.short(), head.long()) else {
        return Ok(None);
    };
    let size = size as usize;
    if size + FRAME_OVERHEAD > frame_max as usize {
        return fault(501, "frame too large");
    }
    let Some(payload) = head.0.get(..size) else { return Ok(None) };
    match head.0.get(size) {
        None => return Ok(None),
        Some(&FRAME_END) => {}
        Some(_) => return fault(501, "frame end missing"),
    }
    let mut args = Args(payload);
    let content = match kind {
        1 => Content::Method((args.short()?, args.short()?), args.0.to_vec()),
        2 => {
            args.long()?; // class id and weight
            Content::Header(args.long_long()?, Properties::read(&mut args)?)
        }
        3 => Content::Body(payload.to_vec()),
        8 => Content::Heartbeat,
        _ => return fault(501, "unknown frame type"),
    };
    Ok(Some((Frame { channel, content }, size + FRAME_OVERHEAD)))
}

/// Writes one frame.
fn write_frame(out: &mut Vec<u8>, kind: u8, channel: u16, payload: &[u8]) {
    out.push(kind);
    out.extend(channel.to_be_bytes());
    out.extend((payload.len() as u32).to_be_bytes());
    out.extend(payload);
    out.push(FRAME_END);
}

/// Writes a method frame; `args` are encoded with [`PutArgument`].
pub fn write_method(out: &mut Vec<u8>, channel: u16, method: Method, args: &[u8]) {
    let mut payload = Vec::with_capacity(args.len() + 4);
    payload.put_short(method.0);
    payload.put_short(method.1);
    payload.extend(args);
    write_frame(out, 1, channel, &payload);
}

/// Writes a content as a header frame and body frames.
pub fn write_content(out: &mut Vec<u8>, channel: u16, properties: &Properties, body: &[u8], frame_max: u32) {
    let mut payload = Vec::new();
    payload.put_short(60);
    payload.put_short(0);
    payload.extend((body.len() as u64).to_be_bytes());
    properties.write(&mut payload);
    write_frame(out, 2, channel, &payload);
    for part in body.chunks(frame_max as usize - FRAME_OVERHEAD) {
        write_frame(out, 3, channel, part);
    }
}

/// Writes a heartbeat frame.
pub fn write_heartbeat(out: &mut Vec<u8>) {
    write_frame(out, 8, 0, &[]);
}

/// Writes the close method of the connection (channel 0) or of a channel.
pub fn write_close(out: &mut Vec<u8>, channel: u16, Fault(code, text): &Fault, cause: Method) {
    let mut args = Vec::new();
    args.put_short(*code);
    args.put_short_string(text.as_bytes());
    args.put_short(cause.0);
    args.put_short(cause.1);
    let method = if channel == 0 { method::CLOSE } else { method::CHANNEL_CLOSE };
    write_method(out, channel, method, &args);
}

/// Encodes method arguments.
pub trait PutArgument {
    /// Appends a 16-bit number.
    fn put_short(&mut self, value: u16);
    /// Appends a 32-bit number.
    fn put_long(&mut self, value: u32);
    /// Appends a 64-bit number.
    fn put_long_long(&mut self, value: u64);
    /// Appends a short string, cut to 255 bytes.
    fn put_short_string(&mut self, text: &[u8]);
    /// Appends a long string.
    fn put_long_string(&mut self, text: &[u8]);
    /// Appends a field table.
    fn put_table(&mut self, fields: &[(String, Value)]);
}

impl PutArgument for Vec<u8> {
    fn put_short(&mut self, value: u16) {
        self.extend(value.to_be_bytes());
    }

    fn put_long(&mut self, value: u32) {
        self.extend(value.to_be_bytes());
    }

    fn put_long_long(&mut self, value: u64) {
        self.extend(value.to_be_bytes());
    }

    fn put_short_string(&mut self, text: &[u8]) {
        let text = &text[..text.len().min(255)];
        self.push(text.len() as u8);
        self.extend(text);
    }

    fn put_long_string(&mut self, text: &[u8]) {
        self.put_long(text.len() as u32);
        self.extend(text);
    }

    fn put_table(&mut self, fields: &[(String, Value)]) {
        let mut table = Vec::new();
        for (name, value) in fields {
            table.put_short_string(name.as_bytes());
            match value {
                Value::Text(text) => {
                    table.push(b'S');
                    table.put_long_string(text);
                }
                Value::Number(number) => {
                    table.push(b'l');
                    table.extend(number.to_be_bytes());
                }
                Value::Flag(flag) => table.extend([b't', u8::from(*flag)]),
                Value::Table(fields) => {
                    table.push(b'F');
                    table.put_table(fields);
                }
                Value::Other => table.push(b'V'),
            }
        }
        self.put_long_string(&table);
    }
}

/// A value in a field table; types that are not needed are read as [`Value::Other`].
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// A long string.
    Text(Vec<u8>),
    /// An integer of any width.
    Number(i64),
    /// A boolean.
    Flag(bool),
    /// A nested table.
    Table(Vec<(String, Value)>),
    /// A value of any other type.
    Other,
}

/// Decodes method arguments. Truncated input is a syntax error.
pub struct Args<'a>(pub &'a [u8]);

impl<'a> Args<'a> {
    fn take(&mut self, length: usize) -> Result<&'a [u8], Fault> {
        let Some((bytes, rest)) = self.0.split_at_checked(length) else {
            return fault(502, "arguments cut short");
        };
        self.0 = rest;
        Ok(bytes)
    }

    fn number<const N: usize>(&mut self) -> Result<[u8; N], Fault> {
        let mut bytes = [0; N];
        bytes.copy_from_slice(self.take(N)?);
        Ok(bytes)
    }

    /// Reads an 8-bit number.
    pub fn octet(&mut self) -> Result<u8, Fault> {
        Ok(self.number::<1>()?[0])
    }

    /// Reads a 16-bit number.
    pub fn short(&mut self) -> Result<u16, Fault> {
        self.number().map(u16::from_be_bytes)
    }

    /// Reads a 32-bit number.
    pub fn long(&mut self) -> Result<u32, Fault> {
        self.number().map(u32::from_be_bytes)
    }

    /// Reads a 64-bit number.
    pub fn long_long(&mut self) -> Result<u64, Fault> {
        self.number().map(u64::from_be_bytes)
    }

    /// Reads a short string.
    pub fn short_string(&mut self) -> Result<&'a [u8], Fault> {
        let length = self.octet()?;
        self.take(length.into())
    }

    /// Reads a short string that must be UTF-8.
    pub fn short_string_utf8(&mut self) -> Result<String, Fault> {
        let name = self.short_string()?.to_vec();
        String::from_utf8(name).or_else(|_| fault(502, "a name is not UTF-8"))
    }

    /// Reads a long string.
    pub fn long_string(&mut self) -> Result<&'a [u8], Fault> {
        let length = self.long()?;
        self.take(length as usize)
    }

    /// Reads a field table.
    pub fn table(&mut self) -> Result<Vec<(String, Value)>, Fault> {
        self.nested_table(0, &mut 0)
    }

    /// Reads a table; `field_count` counts the fields of the outermost table and of all tables in it.
    fn nested_table(&mut self, depth: usize, field_count: &mut usize) -> Result<Vec<(String, Value)>, Fault> {
        // Without a limit, a frame full of nested tables would exhaust the stack.
        if depth > 8 {
            return fault(502, "table nested too deep");
        }
        let mut inner = Args(self.long_string()?);
        let mut fields = Vec::new();
        while !inner.0.is_empty() {
            *field_count += 1;
            if *field_count > MAX_TABLE_FIELDS {
                return fault(502, "too many fields in a table");
            }
            let name = inner.short_string_utf8()?;
            fields.push((name, inner.value(depth, field_count)?));
        }
        Ok(fields)
    }

    fn value(&mut self, depth: usize, field_count: &mut usize) -> Result<Value, Fault> {
        Ok(match self.octet()? {
            b't' => Value::Flag(self.octet()? != 0),
            b'b' => Value::Number((self.octet()? as i8).into()),
            b'B' => Value::Number(self.octet()?.into()),
            b's' | b'U' => Value::Number((self.short()? as i16).into()),
            b'u' => Value::Number(self.short()?.into()),
            b'I' => Value::Number((self.long()? as i32).into()),
            b'i' => Value::Number(self.long()?.into()),
            b'l' | b'L' | b'T' => Value::Number(self.long_long()? as i64),
            b'S' => Value::Text(self.long_string()?.to_vec()),
            b'F' => Value::Table(self.nested_table(depth + 1, field_count)?),
            b'V' => Value::Other,
            b'f' => self.take(4).map(|_| Value::Other)?,
            b'd' => self.take(8).map(|_| Value::Other)?,
            b'D' => self.take(5).map(|_| Value::Other)?,
            b'A' | b'x' => self.long_string().map(|_| Value::Other)?,
            _ => return fault(502, "unknown type in a table"),
        })
    }
}

/// Content properties; those that are not needed are skipped.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Properties {
    /// `headers`.
    pub headers: Vec<(String, Value)>,
    /// `delivery-mode`; 2 is persistent.
    pub delivery_mode: Option<u8>,
    /// `correlation-id`.
    pub correlation_id: Option<Rc<[u8]>>,
    /// `reply-to`.
    pub reply_to: Option<Rc<[u8]>>,
    /// `expiration`, milliseconds as text.
    pub expiration: Option<Rc<[u8]>>,
    /// `message-id`.
    pub message_id: Option<Rc<[u8]>>,
    /// `type`.
    pub kind: Option<Rc<[u8]>>,
}

const HEADERS: u16 = 1 << 13;
const DELIVERY_MODE: u16 = 1 << 12;
const CORRELATION_ID: u16 = 1 << 10;
const REPLY_TO: u16 = 1 << 9;
const EXPIRATION: u16 = 1 << 8;
const MESSAGE_ID: u16 = 1 << 7;
const KIND: u16 = 1 << 5;

impl Properties {
    fn read(args: &mut Args) -> Result<Properties, Fault> {
        let flags = args.short()?;
        if flags & 1 != 0 {
            return fault(502, "more property flags than there are properties");
        }
        let mut properties = Properties::default();
        for bit in (1..16).rev().map(|position| 1u16 << position).filter(|bit| flags & bit != 0) {
            match bit {
                HEADERS => properties.headers = args.table()?,
                DELIVERY_MODE => properties.delivery_mode = Some(args.octet()?),
                // Priority and timestamp are the remaining properties that are not short strings.
                0x0800 => drop(args.octet()?),
                0x0040 => drop(args.long_long()?),
                _ => {
                    let name = args.short_string()?;
                    if let Some(property) = properties.string_property(bit) {
                        *property = Some(name.into());
                    }
                }
            }
        }
        Ok(properties)
    }

    fn string_property(&mut self, bit: u16) -> Option<&mut Option<Rc<[u8]>>> {
        Some(match bit {
            CORRELATION_ID => &mut self.correlation_id,
            REPLY_TO => &mut self.reply_to,
            EXPIRATION => &mut self.expiration,
            MESSAGE_ID => &mut self.message_id,
            KIND => &mut self.kind,
            _ => return None,
        })
    }

    fn write(&self, out: &mut Vec<u8>) {
        let names = [
            (CORRELATION_ID, &self.correlation_id),
            (REPLY_TO, &self.reply_to),
            (EXPIRATION, &self.expiration),
            (MESSAGE_ID, &self.message_id),
            (KIND, &self.kind),
        ];
        let mut flags = names.iter().filter(|(_, name)| name.is_some()).map(|(bit, _)| bit).sum::<u16>();
        flags |= if self.headers.is_empty() { 0 } else { HEADERS };
        flags |= if self.delivery_mode.is_some() { DELIVERY_MODE } else { 0 };
        out.put_short(flags);
        if !self.headers.is_empty() {
            out.put_table(&self.headers);
        }
        out.extend(self.delivery_mode);
        for name in names.iter().filter_map(|(_, name)| name.as_ref()) {
            out.put_short_string(name);
        }
    }

    /// Approximate bytes of memory that the properties take.
    pub fn memory_bytes(&self) -> usize {
        fn field_bytes((name, value): &(String, Value)) -> usize {
            let value_bytes = match value {
                Value::Text(text) => text.len(),
                Value::Table(fields) => fields.iter().map(field_bytes).sum(),
                Value::Number(_) | Value::Flag(_) | Value::Other => 0,
            };
            std::mem::size_of::<(String, Value)>() + name.len() + value_bytes
        }
        let names = [&self.correlation_id, &self.reply_to, &self.expiration, &self.message_id, &self.kind];
        let name_bytes: usize = names.iter().filter_map(|name| name.as_ref()).map(|name| name.len()).sum();
        std::mem::size_of::<Properties>() + name_bytes + self.headers.iter().map(field_bytes).sum::<usize>()
    }

    /// A header as text; numbers are converted to decimal.
    pub fn header(&self, name: &str) -> Option<Vec<u8>> {
        match &self.headers.iter().find(|(known, _)| known == name)?.1 {
            Value::Text(text) => Some(text.clone()),
            Value::Number(number) => Some(number.to_string().into_bytes()),
            _ => None,
        }
    }
}

/// Heartbeat interval of a connection, with the times of the last input and output.
#[derive(Clone, Copy, Debug)]
pub struct HeartbeatTimer {
    interval: crate::Micros,
    /// Time of the last input.
    pub last_received: crate::Micros,
    /// Time of the last output.
    pub last_sent: crate::Micros,
}

impl HeartbeatTimer {
    /// Starts with the negotiated interval in seconds; 0 turns heartbeats off.
    pub fn new(seconds: u16, now: crate::Micros) -> HeartbeatTimer {
        HeartbeatTimer {
            interval: crate::Micros(u64::from(seconds) * 1_000_000),
            last_received: now,
            last_sent: now,
        }
    }

    /// Whether the peer has been silent for two intervals.
    pub fn has_expired(&self, now: crate::Micros) -> bool {
        self.interval.0 > 0 && now.minus(self.last_received).0 >= 2 * self.interval.0
    }

    /// Whether a heartbeat is due: nothing has been sent for half an interval.
    pub fn is_send_due(&self, now: crate::Micros) -> bool {
        self.interval.0 > 0 && now.minus(self.last_sent).0 >= self.interval.0 / 2
    }

    /// Time of the next heartbeat or expiry, whichever is earlier.
    pub fn next_due(&self) -> Option<crate::Micros> {
        let send_interval = crate::Micros(self.interval.0 / 2);
        let timeout = crate::Micros(2 * self.interval.0);
        (self.interval.0 > 0)
            .then(|| self.last_sent.plus(send_interval).min(self.last_received.plus(timeout)))
    }
}

#[cfg(test)]
mod tests;
