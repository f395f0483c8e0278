//! Links to other nodes: one task per socket authenticates the other node and transfers frames.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use daisyyard_core::id::InstanceId;
use futures_util::{SinkExt, StreamExt};
use hmac::{Hmac, Mac};
use sha2::Sha256;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use xtra::WeakAddress;

use crate::event::{self, Event};
use crate::peer::Peer;
use crate::peer_events::{DialFailed, Down, Received, Up};
use crate::wire::{
    self, CHALLENGE_BYTES, Hello, MAX_FRAME_BYTES, MAX_HANDSHAKE_BYTES, Message, PROTOCOL_VERSION,
};

/// Time limit for connecting and for mutual authentication.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without a frame after which a link is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time limit for writing one frame.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of frames queued for writing on one link.
pub(crate) const MAX_QUEUED_FRAMES: usize = 256;
/// Domain separation: prevents a proof from being valid for another use of the shared key.
const PROOF_CONTEXT: &[u8] = b"daisyyard peer 1";

/// A socket with length-delimited frames.
pub type Socket = Framed<TcpStream, LengthDelimitedCodec>;

/// Role of a node in the handshake.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// The node that connected.
    Dialler = 1,
    /// The node that accepted the connection.
    Acceptor = 2,
}

/// Error that prevented or closed a link.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection failed.
    #[error("the connection failed ({0}); check that the node runs and is reachable")]
    Socket(#[from] std::io::Error),
    /// The other end did not send or accept a frame in time.
    #[error("timed out waiting for the other node; check the network between the nodes")]
    Timeout,
    /// The other end closed the link.
    #[error("the other node closed the link; see its log for the reason")]
    Closed,
    /// A frame could not be decoded.
    #[error(transparent)]
    Frame(#[from] wire::Error),
    /// A message arrived that the handshake does not allow at this point.
    #[error("unexpected message in the handshake; check that all nodes run a compatible version")]
    UnexpectedMessage,
    /// The other end uses another protocol version.
    #[error(
        "the other node uses version {0}, this node version {PROTOCOL_VERSION}; update the older one"
    )]
    Version(u32),
    /// The proof of the other end does not match the shared key.
    #[error("the other node did not prove the shared key; set the same `key` on all nodes")]
    InvalidProof,
    /// A different node than the expected one answered.
    #[error("another node answered at this address; the instance list may be out of date")]
    WrongNode,
}

/// Configuration that all link tasks of a node share.
#[derive(Debug, Clone)]
pub(crate) struct Config {
    /// Instance of this node.
    pub(crate) node: InstanceId,
    /// Shared key of all nodes.
    pub(crate) key: Bytes,
    /// Actor that receives the frames.
    pub(crate) peer: WeakAddress<Peer>,
}

/// Wraps a socket in a codec with the frame limit of the handshake.
pub fn framed(socket: TcpStream) -> Socket {
    Framed::new(socket, wire::codec(MAX_HANDSHAKE_BYTES))
}

/// Returns the proof of one end that it knows the key, computed over both greetings.
///
/// The proof includes the role, so that a proof cannot be reflected to the node that sent it.
pub fn proof(key: &[u8], role: Role, prover: &Hello, verifier: &Hello) -> Bytes {
    mac(key, role, prover, verifier)
        .finalize()
        .into_bytes()
        .to_vec()
        .into()
}

/// Returns the HMAC of a proof, to be finalized or verified in constant time.
fn mac(key: &[u8], role: Role, prover: &Hello, verifier: &Hello) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC accepts keys of any length");
    mac.update(PROOF_CONTEXT);
    mac.update(&[role as u8]);
    for hello in [prover, verifier] {
        mac.update(&hello.version.to_be_bytes());
        mac.update(&hello.node.to_be_bytes());
        mac.update(&hello.challenge);
    }
    mac
}

/// Exchanges greetings and proofs and returns the id of the other node.
///
/// The dialler sends its proof first, so that a connecting end without the key receives no proof.
pub async fn handshake(
    socket: &mut Socket,
    key: &[u8],
    node: InstanceId,
    role: Role,
) -> Result<InstanceId, Error> {
    let mine = Hello {
        version: PROTOCOL_VERSION,
        node,
        challenge: rand::random::<[u8; CHALLENGE_BYTES]>(),
    };
    send(socket, Message::Hello(mine.clone())).await?;
    let Message::Hello(theirs) = receive(socket).await? else {
        return Err(Error::UnexpectedMessage);
    };
    if theirs.version != PROTOCOL_VERSION {
        return Err(Error::Version(theirs.version));
    }
    match role {
        Role::Dialler => {
            let digest = proof(key, role, &mine, &theirs);
            send(socket, Message::Proof(digest)).await?;
            verify(socket, key, Role::Acceptor, &theirs, &mine).await?;
        }
        Role::Acceptor => {
            verify(socket, key, Role::Dialler, &theirs, &mine).await?;
            let digest = proof(key, role, &mine, &theirs);
            send(socket, Message::Proof(digest)).await?;
        }
    }
    socket.codec_mut().set_max_frame_length(MAX_FRAME_BYTES);
    Ok(theirs.node)
}

/// Receives and verifies the proof of the other end.
async fn verify(
    socket: &mut Socket,
    key: &[u8],
    role: Role,
    theirs: &Hello,
    mine: &Hello,
) -> Result<(), Error> {
    let Message::Proof(digest) = receive(socket).await? else {
        return Err(Error::UnexpectedMessage);
    };
    let expected = mac(key, role, theirs, mine);
    expected
        .verify_slice(&digest)
        .map_err(|_mismatch| Error::InvalidProof)
}

/// Sends one message.
pub async fn send(socket: &mut Socket, message: Message) -> Result<(), Error> {
    Ok(socket.send(wire::encode(message)).await?)
}

/// Receives one message.
pub async fn receive(socket: &mut Socket) -> Result<Message, Error> {
    let bytes = socket.next().await.ok_or(Error::Closed)??;
    Ok(wire::decode(bytes.freeze())?)
}

/// Connects to a node and runs the link until it closes.
pub(crate) async fn dial(config: Config, expected: InstanceId, address: SocketAddr) {
    let open = async {
        let socket = TcpStream::connect(address).await?;
        let link = authenticate(&config, socket, Role::Dialler).await?;
        if link.0 == expected {
            Ok(link)
        } else {
            Err(Error::WrongNode)
        }
    };
    let opened = tokio::time::timeout(HANDSHAKE_TIMEOUT, open).await;
    match opened.unwrap_or(Err(Error::Timeout)) {
        Ok((node, socket)) => run(config, node, socket, true).await,
        Err(error) => {
            if !matches!(error, Error::Socket(_)) {
                event::emit(
                    Event::LinkRefused,
                    &format!("address={address} error={error}"),
                );
            }
            let _ = config.peer.send(DialFailed(expected)).await;
        }
    }
}

/// Authenticates a node that connected and runs the link until it closes.
pub(crate) async fn accept(config: Config, socket: TcpStream, address: SocketAddr) {
    let opened = authenticate(&config, socket, Role::Acceptor);
    let opened = tokio::time::timeout(HANDSHAKE_TIMEOUT, opened).await;
    match opened.unwrap_or(Err(Error::Timeout)) {
        Ok((node, socket)) => run(config, node, socket, false).await,
        Err(error) => event::emit(
            Event::LinkRefused,
            &format!("address={address} error={error}"),
        ),
    }
}

/// Configures a socket and performs the handshake.
async fn authenticate(
    config: &Config,
    socket: TcpStream,
    role: Role,
) -> Result<(InstanceId, Socket), Error> {
    socket.set_nodelay(true)?;
    let mut socket = framed(socket);
    let node = handshake(&mut socket, &config.key, config.node, role).await?;
    Ok((node, socket))
}

/// Reads and writes frames until either end closes the link.
async fn run(config: Config, node: InstanceId, socket: Socket, dialled: bool) {
    let (sender, mut frames) = mpsc::channel::<Bytes>(MAX_QUEUED_FRAMES);
    let link: u64 = rand::random();
    let up = Up {
        node,
        link,
        sender,
        dialled,
    };
    if !config.peer.send(up).await.unwrap_or(false) {
        return;
    }
    let (mut sink, mut stream) = socket.split();
    let write = async {
        while let Some(bytes) = frames.recv().await {
            let sent = tokio::time::timeout(WRITE_TIMEOUT, sink.send(bytes)).await;
            sent.map_err(|_elapsed| Error::Timeout)??;
        }
        Err::<(), Error>(Error::Closed)
    };
    let read = async {
        loop {
            let bytes = tokio::time::timeout(IDLE_TIMEOUT, stream.next()).await;
            let bytes = bytes.map_err(|_elapsed| Error::Timeout)?;
            let bytes = bytes.ok_or(Error::Closed)??.freeze();
            let received = Received {
                node,
                link,
                size: bytes.len(),
                message: wire::decode(bytes)?,
            };
            let sent = config.peer.send(received).await;
            sent.map_err(|_stopped| Error::Closed)?;
        }
    };
    let ended: Result<(), Error> = tokio::select! {
        ended = write => ended,
        ended = read => ended,
    };
    if let Err(error @ (Error::Frame(_) | Error::Timeout)) = ended {
        event::emit(
            Event::LinkBroken,
            &format!("node={node:016x} error={error}"),
        );
    }
    let _ = config.peer.send(Down { node, link }).await;
}
