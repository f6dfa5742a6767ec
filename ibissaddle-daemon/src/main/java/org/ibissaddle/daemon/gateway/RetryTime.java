package org.ibissaddle.daemon.gateway;

import io.netty.handler.codec.http.HttpResponse;
import java.time.Instant;
import java.util.Optional;
import java.util.OptionalLong;
import org.ibissaddle.platform.HeaderDecoder;
import org.ibissaddle.platform.PlatformHeaders;
import org.ibissaddle.quarantine.RefusedContent;

/** When a request that is refused as unavailable can be accepted, as far as it is known. Confined to the event loop. */
final class RetryTime {
    private final GatewayCore core;
    private Optional<RefusedContent> refusedContent = Optional.empty();
    private OptionalLong peerRetryAtMs = OptionalLong.empty();

    RetryTime(GatewayCore core) {
        this.core = core;
    }

    /** Records the content for which the request is refused, empty if it may be sent. */
    void recordContent(Optional<RefusedContent> refused) {
        refusedContent = refused;
    }

    /** Records when an instance of a home region that refused the request can accept it. */
    void recordPeerRefusal(HttpResponse response) {
        String value = response.headers().get(PlatformHeaders.RETRY_AFTER);
        if (value != null) {
            OptionalLong periodMs = HeaderDecoder.decodeRetryAfter(value, Instant.now());
            peerRetryAtMs =
                    periodMs.isPresent() ? OptionalLong.of(core.nowMs() + periodMs.getAsLong()) : OptionalLong.empty();
        }
    }

    /** Returns the time in milliseconds, empty if it is unknown. */
    OptionalLong atMs(String service, boolean localAllowed) {
        if (refusedContent.isPresent()) {
            return OptionalLong.of(refusedContent.get().untilMs());
        }
        return localAllowed ? core.backends().heldOffUntilMs(service, core.nowMs()) : peerRetryAtMs;
    }
}
