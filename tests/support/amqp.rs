//! AMQP for scenarios and for the stand-in broker: one side of a connection, whose frames are written as
//! short texts.
//!
//! Texts to send: `open USER PASSWORD VHOST`, `publish ID CLASS DEST MS QUEUE BODY`, `declare QUEUE`,
//! `consume QUEUE`, `ack TAG`, `nack TAG`, `close-channel CODE`, `return ID`, `ok channel`, `ok confirms`,
//! and `raw TEXT` for plain bytes. Frames are sent on channel 1, or on another with the prefix `CHANNEL:`.

use cedarwharf::net::amqp::{self, method, Args, Content, Frame, Method, Properties, PutArgument, Value};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// One side of an AMQP connection.
pub struct AmqpPeer {
    stream: TcpStream,
    input: Vec<u8>,
}

impl AmqpPeer {
    /// Connects as a client, without sending anything.
    pub fn connect(address: SocketAddr) -> AmqpPeer {
        AmqpPeer::new(TcpStream::connect(address).unwrap())
    }

    /// Accepts as a broker and completes the handshake up to `connection.open-ok`.
    pub fn accept(stream: TcpStream) -> AmqpPeer {
        let mut peer = AmqpPeer::new(stream);
        peer.stream.read_exact(&mut [0; 8]).unwrap();
        let mut start = vec![0, 9];
        start.put_table(&[]);
        start.put_long_string(b"PLAIN");
        start.put_long_string(b"en_US");
        peer.method(0, method::START, &start);
        peer.wait_for(method::START_OK);
        peer.method(0, method::TUNE, &[0, 100, 0, 2, 0, 0, 0, 0]);
        peer.wait_for(method::OPEN);
        peer.method(0, method::OPEN_OK, &[0]);
        peer
    }

    fn new(stream: TcpStream) -> AmqpPeer {
        stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        stream.set_nodelay(true).unwrap();
        AmqpPeer { stream, input: Vec::new() }
    }

    /// Sets the time that [`AmqpPeer::frame`] waits.
    pub fn set_read_timeout(&self, timeout: Duration) {
        self.stream.set_read_timeout(Some(timeout)).unwrap();
    }

    /// Writes a method. Write errors are ignored: a closed connection shows at the next read.
    pub fn method(&mut self, channel: u16, name: Method, args: &[u8]) {
        let mut out = Vec::new();
        amqp::write_method(&mut out, channel, name, args);
        let _ = self.stream.write_all(&out);
    }

    /// Writes frames.
    pub fn write(&mut self, frames: &[u8]) {
        self.stream.write_all(frames).unwrap();
    }

    /// Reads the next frame other than a heartbeat; `None` after the time-out, an error if the connection has
    /// ended.
    pub fn frame(&mut self) -> Result<Option<Frame>, ()> {
        loop {
            match amqp::read_frame(&self.input, amqp::FRAME_MAX) {
                Ok(Some((frame, used))) => {
                    self.input.drain(..used);
                    if frame.content != Content::Heartbeat {
                        return Ok(Some(frame));
                    }
                    continue;
                }
                Ok(None) => {}
                Err(problem) => panic!("{problem:?}"),
            }
            let mut chunk = [0; 8192];
            match self.stream.read(&mut chunk) {
                Ok(0) => return Err(()),
                Ok(count) => self.input.extend(&chunk[..count]),
                Err(problem) if matches!(problem.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    return Ok(None);
                }
                Err(_) => return Err(()),
            }
        }
    }

    fn wait_for(&mut self, expected: Method) -> Vec<u8> {
        loop {
            match self.frame().expect("connection ended").expect("no frame arrives").content {
                Content::Method(name, args) if name == expected => return args,
                Content::Method(method::CLOSE, args) => panic!("closed: {:?}", Args(&args).short()),
                _ => {}
            }
        }
    }

    /// Opens a connection and channel 1 with publisher confirms, without waiting for the replies.
    pub fn open(&mut self, user: &str, password: &str, vhost: &str) {
        self.stream.write_all(amqp::PROTOCOL).unwrap();
        let mut args = Vec::new();
        args.put_table(&[]);
        args.put_short_string(b"PLAIN");
        args.put_long_string(format!("\0{user}\0{password}").as_bytes());
        args.put_short_string(b"en_US");
        self.method(0, method::START_OK, &args);
        self.method(0, method::TUNE_OK, &[0, 10, 0, 2, 0, 0, 0, 0]);
        let mut args = Vec::new();
        args.put_short_string(vhost.as_bytes());
        args.extend([0, 0]);
        self.method(0, method::OPEN, &args);
        self.method(1, method::CHANNEL_OPEN, &[0]);
        self.method(1, method::CONFIRM_SELECT, &[0]);
    }

    /// Publishes a message on channel 1; `-` omits a property.
    pub fn publish(&mut self, id: &str, class: &str, dest: &str, ms: &str, queue: &str, body: &str) {
        let mut args = vec![0, 0];
        args.put_short_string(b"");
        args.put_short_string(b"any");
        args.push(0);
        self.method(1, method::PUBLISH, &args);
        let optional = |text: &str| (text != "-").then(|| text.as_bytes().into());
        let properties = Properties {
            headers: vec![
                ("dest".into(), Value::Text(dest.into())),
                ("key".into(), Value::Text(format!("key-{id}").into())),
            ],
            message_id: optional(id),
            kind: optional(class),
            expiration: optional(ms),
            reply_to: optional(queue),
            ..Properties::default()
        };
        let mut out = Vec::new();
        amqp::write_content(&mut out, 1, &properties, body.as_bytes(), amqp::FRAME_MAX);
        let _ = self.stream.write_all(&out);
    }

    /// Sends a frame given as a text, see the module.
    pub fn send_text(&mut self, text: &str) {
        let (channel, text) = match text.split_once(':') {
            Some((channel, rest)) if channel.parse::<u16>().is_ok() => (channel.parse().unwrap(), rest),
            _ => (1, text),
        };
        let words: Vec<&str> = text.split(' ').collect();
        let mut args = Vec::new();
        match words[..] {
            ["raw", text] => self.stream.write_all(text.as_bytes()).unwrap(),
            ["open", user, password, vhost] => self.open(user, password, vhost),
            ["publish", id, class, dest, ms, queue, body] => self.publish(id, class, dest, ms, queue, body),
            ["declare", queue] => {
                args.put_short(0);
                args.put_short_string(queue.as_bytes());
                args.push(2);
                args.put_table(&[]);
                self.method(channel, method::QUEUE_DECLARE, &args);
            }
            ["consume", queue] => {
                args.put_short(0);
                args.put_short_string(queue.as_bytes());
                args.put_short_string(b"c");
                args.push(0);
                args.put_table(&[]);
                self.method(channel, method::CONSUME, &args);
            }
            ["ack" | "nack", tag] => {
                args.put_long_long(tag.parse().unwrap());
                args.push(0);
                let name = if words[0] == "ack" { method::ACK } else { method::NACK };
                self.method(channel, name, &args);
            }
            ["return", id] => {
                args.put_short(312);
                args.put_short_string(b"NO_ROUTE");
                args.put_short_string(b"");
                args.put_short_string(b"payments");
                self.method(channel, method::RETURN, &args);
                let properties =
                    Properties { message_id: Some(id.as_bytes().into()), ..Properties::default() };
                let mut out = Vec::new();
                amqp::write_content(&mut out, channel, &properties, b"", amqp::FRAME_MAX);
                self.stream.write_all(&out).unwrap();
            }
            ["close-channel", code] => {
                let problem = amqp::Fault(code.parse().unwrap(), "closed by the test".into());
                let mut out = Vec::new();
                amqp::write_close(&mut out, channel, &problem, (0, 0));
                let _ = self.stream.write_all(&out);
            }
            ["ok", "channel"] => self.method(channel, method::CHANNEL_OPEN_OK, &[0, 0, 0, 0]),
            ["ok", "confirms"] => self.method(channel, method::CONFIRM_SELECT_OK, &[]),
            _ => panic!("cannot send {text}"),
        }
    }

    /// Receives the next method with its content and returns it as a text.
    pub fn receive_text(&mut self) -> String {
        loop {
            let Ok(frame) = self.frame() else { return "the connection ended".into() };
            let Frame { channel, content } = frame.expect("no frame arrives");
            let Content::Method(name, bytes) = content else { panic!("{content:?}") };
            let mut args = Args(&bytes);
            let text = match name {
                method::START | method::TUNE | method::OPEN_OK => continue,
                method::CHANNEL_OPEN => "channel.open".to_owned(),
                method::CHANNEL_OPEN_OK => "channel.open-ok".to_owned(),
                method::CONFIRM_SELECT => "confirm.select".to_owned(),
                method::CONFIRM_SELECT_OK => "confirm.select-ok".to_owned(),
                method::QUEUE_DECLARE_OK => {
                    let (queue, waiting) = (args.short_string_utf8().unwrap(), args.long().unwrap());
                    format!("queue.declare-ok {queue}, {waiting} waiting")
                }
                method::CONSUME_OK => "basic.consume-ok".to_owned(),
                method::ACK => format!("basic.ack {}", args.long_long().unwrap()),
                method::NACK => format!("basic.nack {}", args.long_long().unwrap()),
                method::CLOSE | method::CHANNEL_CLOSE => {
                    let (code, text) = (args.short().unwrap(), args.short_string_utf8().unwrap());
                    format!("{}.close {code} {text}", if channel == 0 { "connection" } else { "channel" })
                }
                method::CHANNEL_CLOSE_OK => "channel.close-ok".to_owned(),
                method::PUBLISH | method::DELIVER => self.describe_content(name, &mut args),
                other => format!("{other:?}"),
            };
            return format!("{channel}: {text}");
        }
    }

    fn describe_content(&mut self, name: Method, args: &mut Args) -> String {
        let head = if name == method::DELIVER {
            args.short_string().unwrap();
            let (tag, redelivered) = (args.long_long().unwrap(), args.octet().unwrap() != 0);
            format!("basic.deliver {tag}{}", if redelivered { " redelivered" } else { "" })
        } else {
            "basic.publish".to_owned()
        };
        let (properties, body) = self.rest_of_content();
        let text = |name: &Option<std::rc::Rc<[u8]>>| {
            String::from_utf8(name.as_deref().unwrap_or(b"-").to_vec()).unwrap()
        };
        let headers: Vec<String> = properties
            .headers
            .iter()
            .map(|(key, value)| match value {
                Value::Text(text) => format!("{key}={}", String::from_utf8_lossy(text)),
                // The time of the advised resubmission differs from run to run.
                other => {
                    format!("{key}={}", if key == "again_ms" { "...".into() } else { format!("{other:?}") })
                }
            })
            .collect();
        let (id, kind, headers) = (text(&properties.message_id), text(&properties.kind), headers.join(" "));
        format!("{head} {id} {kind} [{headers}] {}", String::from_utf8_lossy(&body))
    }

    /// Reads the content header and the body that follow a method with content.
    pub fn rest_of_content(&mut self) -> (Properties, Vec<u8>) {
        let Ok(Some(Frame { content: Content::Header(size, properties), .. })) = self.frame() else {
            panic!("no content header")
        };
        let mut body = Vec::new();
        while (body.len() as u64) < size {
            match self.frame() {
                Ok(Some(Frame { content: Content::Body(part), .. })) => body.extend(part),
                other => panic!("no content body: {other:?}"),
            }
        }
        (properties, body)
    }
}
