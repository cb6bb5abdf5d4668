#include "core/events.h"
#include "core/random.h"
#include "peer/handshake.h"
#include "peer/link.h"

#include <utility>

namespace snipestream
{

namespace
{

constexpr size_t kNonceBytes = 16;

} // namespace

void PeerLink::start(LinkObserver observer)
{
    observer_ = std::move(observer);
    const auto &self = shared_->options.self;
    ownHello_ = {shared_->options.version, self.node.value, self.incarnation, self.domain.value, table_.window, {}, {}};
    ownHello_.nonce = secureRandomHex(kNonceBytes);
    handshakeTimer_ = std::make_unique<boost::asio::steady_timer>(shared_->runtime.context(), shared_->options.connectTimeout);
    handshakeTimer_->async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const auto link = weak.lock();
        if (link && !error && link->phase_ != Phase::Ready) {
            link->close({ErrorCode::Timeout, "the handshake timed out"});
        }
    });
    // The link and its socket own each other until the socket closes and destroys these handlers.
    const auto link = shared_from_this();
    socket_->start({[link] {
                        link->onOpened();
                    },
                    [link](std::string_view message) {
                        link->onMessage(message);
                    },
                    [link] {
                        link->onDrained();
                    },
                    [link](SocketEnd end, const std::string &reason) {
                        link->onSocketClosed(end, reason);
                    }});
}

void PeerLink::onOpened()
{
    if (phase_ != Phase::Connecting) {
        return;
    }
    if (table_.role == LinkRole::Dialler) {
        static_cast<void>(queue(ownHello_));
    }
    phase_ = Phase::AwaitHello;
}

void PeerLink::refuse(const std::string &reason)
{
    if (phase_ == Phase::Closed) {
        return;
    }
    shared_->linksRefused.add();
    logEvent(EventId::PeerRefused, {{"remote", toString(remote())}, {"reason", reason}});
    if (table_.role == LinkRole::Acceptor) {
        static_cast<void>(queue(RefuseFrame{reason}));
    }
    close({ErrorCode::Unavailable, "link to " + toString(remote()) + " refused: " + reason});
}

auto PeerLink::onHandshakeFrame(const Frame &frame) -> Result<void>
{
    if (const auto *hello = std::get_if<HelloFrame>(&frame); hello != nullptr && phase_ == Phase::AwaitHello) {
        return table_.role == LinkRole::Dialler ? onAcceptorHello(*hello) : onDiallerHello(*hello);
    }
    if (const auto *proof = std::get_if<ProofFrame>(&frame); proof != nullptr && phase_ == Phase::AwaitProof) {
        if (const auto checked = checkProof(shared_->options.fleetSecret, LinkRole::Dialler, peerHello_, ownHello_, proof->proof); !checked) {
            refuse(checked.error().message);
            return success();
        }
        becomeReady(peerHello_);
        return success();
    }
    if (const auto *refused = std::get_if<RefuseFrame>(&frame); refused != nullptr && table_.role == LinkRole::Dialler) {
        refuse("the peer says: " + refused->reason);
        return success();
    }
    return failure(ErrorCode::ProtocolViolation, "unexpected frame in the handshake");
}

auto PeerLink::onDiallerHello(const HelloFrame &hello) -> Result<void>
{
    if (const auto checked = checkHello(hello, shared_->options.version); !checked) {
        refuse(checked.error().message);
        return success();
    }
    peerHello_ = hello;
    peerHello_.proof.clear();
    HelloFrame response = ownHello_;
    response.proof = peerProof(shared_->options.fleetSecret, LinkRole::Acceptor, peerHello_, ownHello_);
    phase_ = Phase::AwaitProof;
    return queue(response);
}

auto PeerLink::onAcceptorHello(const HelloFrame &hello) -> Result<void>
{
    auto checked = checkHello(hello, shared_->options.version);
    if (checked) {
        checked = checkProof(shared_->options.fleetSecret, LinkRole::Acceptor, ownHello_, hello, hello.proof);
    }
    if (!checked) {
        refuse(checked.error().message);
        return success();
    }
    BOOST_OUTCOME_TRY(queue(ProofFrame{peerProof(shared_->options.fleetSecret, LinkRole::Dialler, ownHello_, hello)}));
    becomeReady(hello);
    return success();
}

void PeerLink::becomeReady(const HelloFrame &peer)
{
    phase_ = Phase::Ready;
    handshakeTimer_.reset();
    table_.peerWindow = peer.window;
    peer_ = {NodeName(peer.node), peer.incarnation, DomainName(peer.domain)};
    ownHello_ = {};
    peerHello_ = {};
    ++shared_->openLinks;
    shared_->linksOpen.set(static_cast<double>(shared_->openLinks));
    lastUsed_ = BootClock::now();
    logEvent(EventId::PeerConnected,
             {{"node", peer_.node.value},
              {"domain", peer_.domain.value},
              {"remote", toString(remote())},
              {"role", table_.role == LinkRole::Dialler ? "dialler" : "acceptor"}});
    observer_.ready();
}

} // namespace snipestream
