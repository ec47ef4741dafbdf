use std::net::SocketAddr;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::WAIT_LIMIT;

/// Caller that sends arbitrary bytes over TCP.
pub(crate) struct RawCaller {
    pub(crate) stream: TcpStream,
    buffer: Vec<u8>,
}

/// Response as the caller received it.
#[derive(Debug, Default)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    /// Names are in lower case.
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
    /// Whether the body is complete according to its framing.
    pub(crate) is_complete: bool,
}

impl Answer {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    pub(crate) fn outcome(&self) -> &str {
        self.header("galenawheel-outcome").unwrap_or("")
    }

    pub(crate) fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

impl RawCaller {
    pub(crate) async fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).await.expect("a listener");
        Self { stream, buffer: Vec::new() }
    }

    pub(crate) fn from_stream(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    /// Reads until `wanted` has arrived. Returns `false` if the connection ends before that.
    pub(crate) async fn read_until(&mut self, wanted: &[u8]) -> bool {
        let reading = async {
            while !self.buffer.windows(wanted.len()).any(|window| window == wanted) {
                if !self.fill().await {
                    return false;
                }
            }
            true
        };
        tokio::time::timeout(WAIT_LIMIT, reading).await.expect("bytes or the end")
    }

    /// Reads to the end of the connection. Returns an error if it is reset.
    pub(crate) async fn read_to_end(&mut self) -> std::io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        let reading = self.stream.read_to_end(&mut bytes);
        tokio::time::timeout(WAIT_LIMIT, reading).await.expect("the end").map(|_| bytes)
    }

    /// Sends `bytes`. Errors are ignored; a closed connection is noticed when the response is read.
    pub(crate) async fn send(&mut self, bytes: impl AsRef<[u8]>) {
        self.stream.write_all(bytes.as_ref()).await.ok();
    }

    /// Reads one response. Returns `None` if the connection ends before a complete head.
    pub(crate) async fn answer(&mut self) -> Option<Answer> {
        let reading = self.read_answer();
        tokio::time::timeout(WAIT_LIMIT, reading).await.expect("an answer or the end")
    }

    async fn read_answer(&mut self) -> Option<Answer> {
        let end = loop {
            let end = self.buffer.windows(4).position(|window| window == b"\r\n\r\n");
            match end {
                Some(end) => break end,
                None if !self.fill().await => return None,
                None => {}
            }
        };
        let head: Vec<u8> = self.buffer.drain(..end + 4).collect();
        let mut answer = parse_head(&String::from_utf8_lossy(&head));
        if answer.status == 100 {
            return Some(answer);
        }
        let length = answer.header("content-length").map(|value| value.parse().unwrap());
        answer.is_complete = match length {
            Some(length) => self.read_length(length, &mut answer.body).await,
            None if answer.header("transfer-encoding") == Some("chunked") => {
                self.read_chunks(&mut answer.body).await
            }
            None => true,
        };
        Some(answer)
    }

    async fn read_length(&mut self, length: usize, body: &mut Vec<u8>) -> bool {
        while self.buffer.len() < length {
            if !self.fill().await {
                body.append(&mut self.buffer);
                return false;
            }
        }
        body.extend(self.buffer.drain(..length));
        true
    }

    async fn read_chunks(&mut self, body: &mut Vec<u8>) -> bool {
        loop {
            let end = loop {
                let end = self.buffer.windows(2).position(|window| window == b"\r\n");
                match end {
                    Some(end) => break end,
                    None if !self.fill().await => return false,
                    None => {}
                }
            };
            let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
            let size = String::from_utf8_lossy(&line[..end]).into_owned();
            let size = usize::from_str_radix(size.trim(), 16).expect("a chunk size");
            let mut chunk = Vec::new();
            if !self.read_length(size + 2, &mut chunk).await {
                body.append(&mut chunk);
                return false;
            }
            body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                return true;
            }
        }
    }

    /// Reads more bytes. Returns `false` at the end of the connection or if it is reset.
    async fn fill(&mut self) -> bool {
        let mut bytes = vec![0; 64 * 1_024];
        match self.stream.read(&mut bytes).await {
            Ok(0) | Err(_) => false,
            Ok(count) => {
                self.buffer.extend_from_slice(&bytes[..count]);
                true
            }
        }
    }
}

impl RawCaller {
    /// Sends one request on a new connection and reads the response.
    pub(crate) async fn ask(address: SocketAddr, request: impl AsRef<[u8]>) -> Answer {
        let mut caller = Self::connect(address).await;
        caller.send(request).await;
        caller.answer().await.expect("an answer")
    }
}

fn parse_head(head: &str) -> Answer {
    let mut lines = head.split("\r\n");
    let status = lines.next().and_then(|line| line.split(' ').nth(1)).unwrap();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(name, value)| (name.to_lowercase(), value.trim().to_owned()));
    Answer { status: status.parse().unwrap(), headers: headers.collect(), ..Answer::default() }
}
