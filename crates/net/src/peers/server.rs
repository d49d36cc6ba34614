//! Receiver of peer messages.

use {
    super::service::{Peer, Received},
    egretlb_types::NodeId,
    futures::StreamExt,
    std::{
        io,
        net::{IpAddr, SocketAddr},
        sync::Arc,
    },
    tarpc::{
        context::Context,
        serde_transport::tcp,
        server::{BaseChannel, Channel},
        tokio_serde::formats::Bincode,
    },
    tokio::{net::TcpListener, runtime::Handle},
};

/// Maximum size of a message; a configuration of thousands of classes fits.
pub(super) const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// Maximum number of open connections.
const MAX_CONNECTIONS: usize = 256;

#[derive(Clone)]
struct MessageReceiver {
    handler: Arc<dyn Fn(Received) + Send + Sync>,
}

impl Peer for MessageReceiver {
    async fn deliver(self, _: Context, from: NodeId, body: Vec<u8>) {
        (self.handler)(Received { from, body });
    }
}

/// Listens on `ip` and `port` (0: any free port) and passes each message to `handler`, which must
/// not block. Returns the address.
pub fn listen(
    rt: &Handle,
    ip: IpAddr,
    port: u16,
    handler: impl Fn(Received) + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let receiver = MessageReceiver { handler: Arc::new(handler) };
    let listener = std::net::TcpListener::bind(SocketAddr::new(ip, port))?;
    listener.set_nonblocking(true)?;
    let addr = listener.local_addr()?;
    let _guard = rt.enter();
    let listener = TcpListener::from_std(listener)?;
    rt.spawn(accept(listener, receiver));
    Ok(addr)
}

async fn accept(listener: TcpListener, receiver: MessageReceiver) {
    let incoming = tcp::listen_on(listener, Bincode::default).await;
    let Ok(mut incoming) = incoming else { return };
    incoming.config_mut().max_frame_length(MAX_MESSAGE_BYTES);
    incoming
        .filter_map(|transport| async { transport.ok() })
        .map(BaseChannel::with_defaults)
        .map(|channel| {
            let calls = channel.execute(receiver.clone().serve());
            calls.for_each(|call| call)
        })
        .buffer_unordered(MAX_CONNECTIONS)
        .for_each(|()| async {})
        .await;
}
