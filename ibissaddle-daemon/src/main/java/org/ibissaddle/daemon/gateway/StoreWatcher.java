package org.ibissaddle.daemon.gateway;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import org.ibissaddle.catalog.CatalogEvent;
import org.ibissaddle.catalog.CatalogItem;
import org.ibissaddle.daemon.http.Endpoint;
import org.ibissaddle.daemon.http.HttpClient;
import org.ibissaddle.id.Address;
import org.ibissaddle.peer.PeerState;
import org.ibissaddle.peer.StoreReaderElection;
import org.ibissaddle.platform.MalformedMessageException;
import org.ibissaddle.platform.StoreItemDecoder;
import org.ibissaddle.platform.StoreProtocol;

/**
 * Watches the platform's store: lists all items once, then watches for changes, and lists again when the store no
 * longer has the history. The store may end a waiting watch at any time, which is not an outage: a call that does not
 * wait then finds out whether the store responds.
 *
 * <p>An instance that follows the readers of its zone makes no calls. It learns changes from their messages, and calls
 * the store from the last revision up to which it knows all changes.
 */
final class StoreWatcher {
    /** Maximum duration of one watch call, milliseconds; bounds the time until a dead connection is detected. */
    private static final long WATCH_TIMEOUT_MS = 2_000;
    /** The same for an instance that others follow, whose outage must be noticed sooner, milliseconds. */
    private static final long SERVING_WATCH_TIMEOUT_MS = 1_000;
    /** Interval between checks of an instance that follows a reader, milliseconds. */
    private static final long FOLLOWER_CHECK_MS = 250;
    /** Maximum time to wait for a response that is due, milliseconds. */
    private static final long RESPONSE_TIMEOUT_MS = 1_500;
    /** Delay before the next watch call after a change, so that one call returns several changes, milliseconds. */
    static final long WATCH_DELAY_MS = 200;
    /** Delay before a retry after a failed call, milliseconds. */
    private static final long RETRY_DELAY_MS = 250;
    /** Minimum duration of failures that counts as an outage, milliseconds. */
    private static final long MIN_OUTAGE_MS = 400;
    /** Maximum idle time of a reused connection and timeout for opening one, milliseconds. */
    private static final HttpClient.SendOptions OPTIONS = new HttpClient.SendOptions(5_000, 500);

    /** Maximum size of a response, bytes; several times the size of a page of the store. */
    private static final int MAX_RESPONSE_BYTES = 16 * 1_048_576;

    private static final int OK = 200;

    private final GatewayCore core;
    private final Endpoint store;
    private final StoreReaderElection election;
    private final List<CatalogItem> listedItems = new ArrayList<>();
    private long listRevision;
    private long watchFrom;
    private long responseDueMs;
    private long failingSinceMs = -1;
    private boolean following;

    StoreWatcher(GatewayCore core) {
        this.core = core;
        this.store = new Endpoint("store", core.settings().storeAddress());
        this.election =
                new StoreReaderElection(core.settings().name(), core.settings().zone(), core.nowMs());
    }

    void start() {
        list("");
    }

    /** Whether this instance calls the store, and no calls have failed for {@link #MIN_OUTAGE_MS} or longer. */
    boolean isReachable() {
        return !following && !isFailing();
    }

    /** Whether this instance follows the readers of its zone instead of calling the store. */
    boolean isFollowing() {
        return following;
    }

    /** Revision up to which all changes are known, 0 before the store was listed. */
    long completeRevision() {
        return watchFrom;
    }

    /**
     * Revision after which another instance is asked for changes. An instance whose calls fail takes what others have,
     * with gaps, and fills them when the store responds again; it must not ask for the same changes in each round.
     */
    long knownRevision() {
        return following ? watchFrom : core.catalog().revision();
    }

    /** Whether to ask an instance for changes: a follower asks its readers only, so that it gets a change once. */
    boolean asksForChanges(Address instance) {
        return following
                ? readers().stream().anyMatch(state -> state.peerAddress().equals(instance))
                : !isReachable();
    }

    /** Returns the readers of the zone to ask for changes, none if this instance reads the store itself. */
    List<PeerState> readers() {
        return isReachable() ? List.of() : election.readers(running());
    }

    /** Records what a message of another instance told about changes, after those were applied. */
    void onPeerMessage(PeerState sender, PeerMessage.Feed feed) {
        boolean isReader = feed != null && feed.upTo() > 0 && sender.platformReachable();
        if (!isReader || watchFrom == 0 || !feed.continues(watchFrom)) {
            return;
        }
        watchFrom = Math.max(watchFrom, feed.upTo());
        if (sender.zone().equals(core.settings().zone())) {
            election.recordReader(core.nowMs());
        }
    }

    private List<PeerState> running() {
        return core.peers().alive(core.nowMs());
    }

    private boolean isFailing() {
        return failingSinceMs >= 0 && core.nowMs() - failingSinceMs >= MIN_OUTAGE_MS;
    }

    private void list(String afterKey) {
        if (afterKey.isEmpty()) {
            listedItems.clear();
            listRevision = Long.MAX_VALUE;
        }
        call(StoreProtocol.listTarget(StoreProtocol.ALL_KEYS, afterKey), 0, this::onList);
    }

    private void onList(int status, byte[] body) {
        if (status != OK) {
            onFailure("list returned status " + status);
            return;
        }
        try {
            StoreProtocol.Page page = StoreProtocol.decodePage(body);
            page.items().stream()
                    .filter(item -> StoreItemDecoder.isRelevant(item.key()))
                    .forEach(listedItems::add);
            listRevision = Math.min(listRevision, page.revision());
            onSuccess();
            if (page.hasMore() && !page.items().isEmpty()) {
                list(page.items().getLast().key());
                return;
            }
            List<CatalogEvent> events = core.catalog().applySnapshot(listedItems, listRevision, core.nowMs());
            core.confirmation().recordStoreAnswer(core.nowMs());
            core.applyCatalogEvents(events, "store");
            core.markServersKnown();
            long before = watchFrom;
            watchFrom = Math.max(watchFrom, listRevision);
            pushChangesAfter(before);
            watchOrFollow(0);
        } catch (MalformedMessageException e) {
            onFailure("list: " + e.getMessage());
        }
    }

    private void watch() {
        GatewaySettings.Revocation revocation = core.settings().platformLimits().revocation();
        long timeoutMs = election.servesZone(running()) ? SERVING_WATCH_TIMEOUT_MS : WATCH_TIMEOUT_MS;
        watch(revocation.strict() ? Math.min(timeoutMs, revocation.revokeMs() / 2) : timeoutMs);
    }

    private void watchOrFollow(long delayMs) {
        if (election.readsStore(running(), core.nowMs())) {
            core.schedule(this::watch, delayMs);
            return;
        }
        following = true;
        core.log().notice("store-followed", "revision", watchFrom);
        core.schedule(this::checkReaders, FOLLOWER_CHECK_MS);
    }

    /**
     * Calls the store again when this instance has become a reader or hears from none. The readers may be silent
     * because of an outage of the store, so that the first response ends an outage since the last message of a reader.
     */
    private void checkReaders() {
        if (!election.readsStore(running(), core.nowMs())) {
            core.schedule(this::checkReaders, FOLLOWER_CHECK_MS);
            return;
        }
        following = false;
        failingSinceMs = election.confirmedAtMs();
        core.log().notice("store-read", "silentMs", core.nowMs() - failingSinceMs, "revision", watchFrom);
        resume();
    }

    private void pushChangesAfter(long revision) {
        if (revision > 0 && core.catalog().revision() > revision && election.pushesChanges(running())) {
            core.peerGossip().pushChanges(revision);
        }
    }

    private void watch(long waitMs) {
        call(StoreProtocol.watchTarget(StoreProtocol.ALL_KEYS, watchFrom, waitMs), waitMs, this::onChanges);
    }

    private void onChanges(int status, byte[] body) {
        if (status == StoreProtocol.STATUS_HISTORY_COMPACTED) {
            core.log().notice("history-dropped", "revision", watchFrom);
            onSuccess();
            list("");
            return;
        }
        if (status != OK) {
            onFailure("watch returned status " + status);
            return;
        }
        try {
            StoreProtocol.Changes changes = StoreProtocol.decodeChanges(body);
            boolean regained = failingSinceMs >= 0;
            onSuccess();
            List<CatalogItem> relevant = changes.changes().stream()
                    .filter(item -> StoreItemDecoder.isRelevant(item.key()))
                    .toList();
            List<CatalogEvent> events = core.catalog().apply(relevant, core.nowMs());
            core.confirmation().recordStoreAnswer(core.nowMs());
            core.applyCatalogEvents(events, "store");
            long before = watchFrom;
            watchFrom = Math.max(watchFrom, changes.revision());
            if (!relevant.isEmpty()) {
                pushChangesAfter(before);
            }
            watchOrFollow(changes.changes().isEmpty() && !regained ? 0 : WATCH_DELAY_MS);
        } catch (MalformedMessageException e) {
            onFailure("watch: " + e.getMessage());
        }
    }

    private void call(String target, long waitMs, BiConsumer<Integer, byte[]> onResponse) {
        responseDueMs = core.nowMs() + waitMs;
        HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, target);
        request.headers().set("Host", store.address().toString());
        new ResponseCollector(
                        core,
                        waitMs + RESPONSE_TIMEOUT_MS,
                        MAX_RESPONSE_BYTES,
                        onResponse,
                        failure -> onFailure(failure.reason()))
                .send(store, request, Unpooled.EMPTY_BUFFER, OPTIONS);
    }

    private void onSuccess() {
        if (failingSinceMs < 0) {
            return;
        }
        long outageMs = core.nowMs() - failingSinceMs;
        failingSinceMs = -1;
        if (outageMs >= MIN_OUTAGE_MS) {
            core.catalog().startGracePeriod(core.nowMs());
            core.log().notice("store-regained", "afterMs", outageMs);
        }
    }

    private void onFailure(String reason) {
        boolean waiting = core.nowMs() < responseDueMs;
        if (failingSinceMs < 0) {
            failingSinceMs = Math.min(responseDueMs, core.nowMs());
            core.log().notice("store-lost", "reason", reason, "revision", watchFrom);
        }
        core.client().closeIdleConnections(store);
        core.schedule(this::resume, waiting ? 0 : RETRY_DELAY_MS);
    }

    private void resume() {
        if (watchFrom == 0) {
            list("");
        } else {
            watch(0);
        }
    }
}
