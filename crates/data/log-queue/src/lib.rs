//! Log lines on their way to an output that may block, such as standard error: whoever reads that may be slow, or a disk that hangs.
//! Nothing that is served waits for it.
#![forbid(unsafe_code)]

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::Arc;
use std::time::Duration;

/// Upper bound on the lines that wait; what comes on top is dropped, and counted.
const MAX_QUEUED_LINES: usize = 1_024;
/// How long the end of the process waits for lines that are still to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Stack of the writing thread, in bytes.
const THREAD_STACK_BYTES: usize = 64 * 1024;

enum Message {
    Line(Vec<u8>),
    /// Answered once all lines before it are written.
    Flush(SyncSender<()>),
}

/// Takes whole lines, and never blocks.
pub struct LogQueue {
    lines: SyncSender<Message>,
    dropped: Arc<AtomicU64>,
}

/// Waits for the lines of its [`LogQueue`] when it is dropped.
pub struct FlushGuard(SyncSender<Message>);

impl LogQueue {
    /// Starts the thread that writes to `output`.
    ///
    /// # Errors
    /// The thread cannot be started.
    pub fn start(output: impl Write + Send + 'static) -> io::Result<(Self, FlushGuard)> {
        let (lines, queued) = sync_channel(MAX_QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = dropped.clone();
        std::thread::Builder::new()
            .name("log-writer".into())
            .stack_size(THREAD_STACK_BYTES)
            .spawn(move || write_lines(output, &queued, &counted))?;
        let guard = FlushGuard(lines.clone());
        Ok((LogQueue { lines, dropped }, guard))
    }
}

impl Write for LogQueue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.lines.try_send(Message::Line(line.to_vec())).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for FlushGuard {
    fn drop(&mut self) {
        let (written, all_written) = sync_channel(1);
        if self.0.try_send(Message::Flush(written)).is_ok() {
            // Nobody may read them: the end waits no longer.
            let _ = all_written.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

fn write_lines(mut output: impl Write, queued: &Receiver<Message>, dropped: &AtomicU64) {
    while let Ok(message) = queued.recv() {
        // Standard error may be closed: there is nobody to tell.
        let _ = match message {
            Message::Line(line) => output.write_all(&line),
            Message::Flush(written) => written.try_send(()).map_err(io::Error::other),
        };
        let count = dropped.swap(0, Ordering::Relaxed);
        if count > 0 {
            let line = format!("{{\"level\":\"WARN\",\"says\":\"{count} log lines were dropped\"}}\n");
            let _ = output.write_all(line.as_bytes());
        }
    }
}
