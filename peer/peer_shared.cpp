#include "peer/link.h"

#include <algorithm>
#include <utility>

namespace snipestream
{

auto tickInterval(const PeerOptions &options) -> Duration
{
    return std::min(options.pingInterval, options.deadAfter) / 2;
}

PeerShared::PeerShared(FiberRuntime &runtimeToUse, PeerOptions optionsToUse, MetricsRegistry &metrics)
    : runtime(runtimeToUse)
    , options(std::move(optionsToUse))
    , framesDropped(metrics.counter("snipestream_peer_frames_dropped_total", "Frames from peers for calls and streams that are over."))
    , violations(metrics.counter("snipestream_peer_violations_total", "Links closed because of an invalid frame."))
    , linksRefused(metrics.counter("snipestream_peer_links_refused_total", "Links that failed the handshake."))
    , noticesDropped(metrics.counter("snipestream_peer_notices_dropped_total", "Notices that were not sent."))
    , callsStarted(metrics.counter("snipestream_peer_calls_total", "Calls sent to peers."))
    , streamsOpened(metrics.counter("snipestream_peer_streams_total", "Streams opened to peers."))
    , bytesSent(metrics.counter("snipestream_peer_bytes_sent_total", "Bytes of frames sent to peers, without the headers of websocket, TCP and IP."))
    , linksOpen(metrics.gauge("snipestream_peer_links", "Links that passed the handshake."))
{
}

} // namespace snipestream
