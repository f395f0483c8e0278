//! Links to other nodes: one task owns each socket, authenticates the other end and moves frames.

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
use crate::exchange::{Down, Failed, Received, Up};
use crate::peer::Peer;
use crate::wire::{
    self, CHALLENGE_BYTES, Hello, MAX_FRAME_BYTES, MAX_HANDSHAKE_BYTES, Message, PROTOCOL_VERSION,
};

/// Time to connect and to prove the key to each other.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without a frame after which a link is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time that one frame may take to be written.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Frames that wait to be written.
pub(crate) const BUFFER: usize = 256;
/// Separates this use of the shared key from others.
const CONTEXT: &[u8] = b"daisyyard peer 1";

/// A socket with frames.
pub type Socket = Framed<TcpStream, LengthDelimitedCodec>;

/// End of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// The node that connected.
    Dialler = 1,
    /// The node that accepted the connection.
    Acceptor = 2,
}

/// Why a link was not opened or ended.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection failed.
    #[error("the connection failed ({0}); check that the node runs and is reachable")]
    Socket(#[from] std::io::Error),
    /// The other end was silent for too long.
    #[error("the other end was silent; check the network between the nodes")]
    Silent,
    /// The other end closed the link.
    #[error("the other end closed the link; its log may say why")]
    Closed,
    /// A frame was not understood.
    #[error(transparent)]
    Frame(#[from] wire::Error),
    /// A frame came at the wrong time.
    #[error("a frame came out of turn; check that all nodes run a compatible version")]
    Turn,
    /// The other end speaks another version.
    #[error(
        "the other end speaks version {0} and this node version {PROTOCOL_VERSION}; update one"
    )]
    Version(u32),
    /// The other end does not know the shared key.
    #[error("the other end does not know the shared key; give all nodes the same `key`")]
    Proof,
    /// Another node than the expected one answered.
    #[error("another node answered at this address; the instance list may be out of date")]
    Identity,
}

/// What a link task needs to know.
#[derive(Debug, Clone)]
pub(crate) struct Terms {
    /// This node.
    pub(crate) node: InstanceId,
    /// Shared key of all nodes.
    pub(crate) key: Bytes,
    /// Actor that receives the frames.
    pub(crate) peer: WeakAddress<Peer>,
}

/// Wraps a socket with the codec for the handshake.
pub fn frame(socket: TcpStream) -> Socket {
    Framed::new(socket, wire::codec(MAX_HANDSHAKE_BYTES))
}

/// Returns the proof of one end over what both ends said.
///
/// The role is part of the proof, so that neither end can send back what it received.
pub fn proof(key: &[u8], role: Role, prover: &Hello, verifier: &Hello) -> Bytes {
    mac(key, role, prover, verifier)
        .finalize()
        .into_bytes()
        .to_vec()
        .into()
}

/// Returns the keyed hash of a proof, ready to finish or to verify in constant time.
fn mac(key: &[u8], role: Role, prover: &Hello, verifier: &Hello) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes a key of any length");
    mac.update(CONTEXT);
    mac.update(&[role as u8]);
    for hello in [prover, verifier] {
        mac.update(&hello.version.to_be_bytes());
        mac.update(&hello.node.to_be_bytes());
        mac.update(&hello.challenge);
    }
    mac
}

/// Exchanges greetings and proofs and returns the node at the other end.
///
/// The dialler proves first, so that an end without the key learns no proof.
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
        return Err(Error::Turn);
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

/// Receives and checks the other end's proof.
async fn verify(
    socket: &mut Socket,
    key: &[u8],
    role: Role,
    theirs: &Hello,
    mine: &Hello,
) -> Result<(), Error> {
    let Message::Proof(digest) = receive(socket).await? else {
        return Err(Error::Turn);
    };
    let expected = mac(key, role, theirs, mine);
    expected
        .verify_slice(&digest)
        .map_err(|_mismatch| Error::Proof)
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

/// Connects to a node and runs the link until it ends.
pub(crate) async fn dial(terms: Terms, expected: InstanceId, address: SocketAddr) {
    let open = async {
        let socket = TcpStream::connect(address).await?;
        let link = open(&terms, socket, Role::Dialler).await?;
        if link.0 == expected {
            Ok(link)
        } else {
            Err(Error::Identity)
        }
    };
    let opened = tokio::time::timeout(HANDSHAKE_TIMEOUT, open).await;
    match opened.unwrap_or(Err(Error::Silent)) {
        Ok((node, socket)) => run(terms, node, socket, true).await,
        Err(error) => {
            if !matches!(error, Error::Socket(_)) {
                event::emit(
                    Event::LinkRefused,
                    &format!("address={address} error={error}"),
                );
            }
            let _ = terms.peer.send(Failed(expected)).await;
        }
    }
}

/// Authenticates a node that connected and runs the link until it ends.
pub(crate) async fn accept(terms: Terms, socket: TcpStream, address: SocketAddr) {
    let opened = open(&terms, socket, Role::Acceptor);
    let opened = tokio::time::timeout(HANDSHAKE_TIMEOUT, opened).await;
    match opened.unwrap_or(Err(Error::Silent)) {
        Ok((node, socket)) => run(terms, node, socket, false).await,
        Err(error) => event::emit(
            Event::LinkRefused,
            &format!("address={address} error={error}"),
        ),
    }
}

/// Prepares a socket and shakes hands over it.
async fn open(terms: &Terms, socket: TcpStream, role: Role) -> Result<(InstanceId, Socket), Error> {
    socket.set_nodelay(true)?;
    let mut socket = frame(socket);
    let node = handshake(&mut socket, &terms.key, terms.node, role).await?;
    Ok((node, socket))
}

/// Moves frames until either end closes the link.
async fn run(terms: Terms, node: InstanceId, socket: Socket, dialled: bool) {
    let (sender, mut frames) = mpsc::channel::<Bytes>(BUFFER);
    let link: u64 = rand::random();
    let up = Up {
        node,
        link,
        sender,
        dialled,
    };
    if !terms.peer.send(up).await.unwrap_or(false) {
        return;
    }
    let (mut sink, mut stream) = socket.split();
    let write = async {
        while let Some(bytes) = frames.recv().await {
            let sent = tokio::time::timeout(WRITE_TIMEOUT, sink.send(bytes)).await;
            sent.map_err(|_elapsed| Error::Silent)??;
        }
        Err::<(), Error>(Error::Closed)
    };
    let read = async {
        loop {
            let bytes = tokio::time::timeout(IDLE_TIMEOUT, stream.next()).await;
            let bytes = bytes.map_err(|_elapsed| Error::Silent)?;
            let bytes = bytes.ok_or(Error::Closed)??.freeze();
            let received = Received {
                node,
                link,
                size: bytes.len(),
                message: wire::decode(bytes)?,
            };
            let sent = terms.peer.send(received).await;
            sent.map_err(|_stopped| Error::Closed)?;
        }
    };
    let ended: Result<(), Error> = tokio::select! {
        ended = write => ended,
        ended = read => ended,
    };
    if let Err(error @ (Error::Frame(_) | Error::Silent)) = ended {
        event::emit(
            Event::LinkBroken,
            &format!("node={node:016x} error={error}"),
        );
    }
    let _ = terms.peer.send(Down { node, link }).await;
}
