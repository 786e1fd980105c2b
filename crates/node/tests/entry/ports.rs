//! Tests of the ports that the test fleet reserves for its entries.

use std::io::ErrorKind;

use hyssop_node::links;
use tokio::net::TcpSocket;

use super::fleet::ReservedPort;

/// Guards against an entry that cannot start because a socket of a parallel test has been given
/// the port that was found for it.
#[tokio::test]
async fn reserved_ports_are_left_to_their_entry() {
    let port = ReservedPort::new();
    let other = TcpSocket::new_v4().unwrap();
    let error = other.bind(port.address()).unwrap_err();
    assert_eq!(error.kind(), ErrorKind::AddrInUse);
    // Twice, because an entry that is killed and restarted listens again.
    drop(links::listen(port.address()).unwrap());
    drop(links::listen(port.address()).unwrap());
}
