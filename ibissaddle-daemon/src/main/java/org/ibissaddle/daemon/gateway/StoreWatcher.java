package org.ibissaddle.daemon.gateway;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BiConsumer;
import org.ibissaddle.catalog.CatalogEvent;
import org.ibissaddle.catalog.CatalogItem;
import org.ibissaddle.catalog.StoreVersion;
import org.ibissaddle.daemon.http.Endpoint;
import org.ibissaddle.daemon.http.HttpClient;
import org.ibissaddle.id.Address;
import org.ibissaddle.peer.PeerState;
import org.ibissaddle.peer.StoreReaderElection;
import org.ibissaddle.platform.HeaderDecoder;
import org.ibissaddle.platform.MalformedMessageException;
import org.ibissaddle.platform.PlatformHeaders;
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
    private StoreVersion listVersion = StoreVersion.MAX;
    private StoreVersion watchFrom = StoreVersion.NONE;
    /** Latest era that an answer of the store or a message of another instance has named. */
    private long era;

    private Optional<ResponseCollector> currentCall = Optional.empty();
    private Optional<Future<?>> nextCall = Optional.empty();
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

    /** Version up to which all changes are known, {@link StoreVersion#NONE} before the store was listed. */
    StoreVersion completeVersion() {
        return watchFrom;
    }

    /**
     * Version after which another instance is asked for changes. An instance whose calls fail takes what others have,
     * with gaps, and fills them when the store responds again; it must not ask for the same changes in each round.
     */
    StoreVersion knownVersion() {
        return following ? watchFrom : core.catalog().version();
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

    /** Applies the changes in a message of another instance, which may be those of a new era of the store. */
    List<CatalogEvent> applyPeerMessage(PeerState sender, PeerMessage message) {
        List<CatalogEvent> events;
        if (message.beginsEraAfter(core.catalog().version()) && !isReadingItself()) {
            noticeEra(message.upTo().era(), "peer " + sender.id());
            events = beginEra(message.items(), message.upTo());
            watchFrom = message.upTo();
        } else {
            events = core.catalog().apply(message.items(), core.nowMs());
        }
        long senderEra = sender.storeVersion().era();
        if (senderEra < era && !message.changes().isEmpty()) {
            core.metrics().recordOutdatedEra();
        }
        recordFeed(sender, message);
        if (senderEra > era && isReadingItself()) {
            noticeEra(senderEra, "peer " + sender.id());
            currentCall.ifPresent(ResponseCollector::cancel);
            nextCall.ifPresent(next -> next.cancel(false));
            list("");
        }
        return events;
    }

    /** Records how far the changes in a message reached, after those were applied. */
    private void recordFeed(PeerState sender, PeerMessage message) {
        boolean isReader = message.feed() != null && message.feed().upTo() > 0 && sender.platformReachable();
        boolean knowsNothing = watchFrom.equals(StoreVersion.NONE);
        if (!isReader || knowsNothing || message.upTo().era() != era || !message.continues(watchFrom)) {
            return;
        }
        watchFrom = StoreVersion.max(watchFrom, message.upTo());
        if (sender.zone().equals(core.settings().zone())) {
            election.recordReader(core.nowMs());
        }
    }

    /** Whether this instance learns the state of the store from its own calls, which currently succeed. */
    private boolean isReadingItself() {
        return !following && failingSinceMs < 0;
    }

    private void noticeEra(long next, String source) {
        if (next == era || watchFrom.equals(StoreVersion.NONE)) {
            era = Math.max(era, next);
            return;
        }
        core.log().notice("store-era", "era", next, "before", era, "revision", watchFrom, "source", source);
        core.metrics().recordStoreEra();
        era = next;
    }

    /** Replaces the state of an earlier era by that of the current one. */
    private List<CatalogEvent> beginEra(List<CatalogItem> items, StoreVersion at) {
        List<CatalogEvent> events = core.catalog().applySnapshot(items, at, core.nowMs());
        core.log()
                .notice(
                        "store-era-begun",
                        "revision",
                        at,
                        "items",
                        items.size(),
                        "changes",
                        events.size(),
                        "awaited",
                        core.catalog().unconfirmedItems(),
                        "configuration",
                        core.configurationVersion());
        return events;
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
            listVersion = StoreVersion.MAX;
        }
        call(StoreProtocol.listTarget(StoreProtocol.ALL_KEYS, afterKey), 0, this::onList);
    }

    private void onList(int status, byte[] body) {
        if (status != OK) {
            onFailure("list returned status " + status);
            return;
        }
        try {
            StoreProtocol.Page page = StoreProtocol.decodePage(body, era);
            if (!listVersion.equals(StoreVersion.MAX) && listVersion.era() < era) {
                list("");
                return;
            }
            page.items().stream()
                    .filter(item -> StoreItemDecoder.isRelevant(item.key()))
                    .forEach(listedItems::add);
            listVersion = StoreVersion.min(listVersion, page.version());
            onSuccess();
            if (page.hasMore() && !page.items().isEmpty()) {
                list(page.items().getLast().key());
                return;
            }
            boolean newEra = watchFrom.era() < era && !watchFrom.equals(StoreVersion.NONE);
            List<CatalogEvent> events = newEra
                    ? beginEra(listedItems, listVersion)
                    : core.catalog().applySnapshot(listedItems, listVersion, core.nowMs());
            core.confirmation().recordStoreAnswer(core.nowMs());
            core.applyCatalogEvents(events, "store");
            core.markServersKnown();
            StoreVersion before = watchFrom;
            watchFrom = StoreVersion.max(watchFrom, listVersion);
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
            scheduleCall(this::watch, delayMs);
            return;
        }
        following = true;
        core.log().notice("store-followed", "revision", watchFrom);
        scheduleCall(this::checkReaders, FOLLOWER_CHECK_MS);
    }

    /**
     * Calls the store again when this instance has become a reader or hears from none. The readers may be silent
     * because of an outage of the store, so that the first response ends an outage since the last message of a reader.
     */
    private void checkReaders() {
        if (!election.readsStore(running(), core.nowMs())) {
            scheduleCall(this::checkReaders, FOLLOWER_CHECK_MS);
            return;
        }
        following = false;
        failingSinceMs = election.confirmedAtMs();
        core.log().notice("store-read", "silentMs", core.nowMs() - failingSinceMs, "revision", watchFrom);
        resume();
    }

    private void pushChangesAfter(StoreVersion before) {
        boolean changed =
                !before.equals(StoreVersion.NONE) && core.catalog().version().isAfter(before);
        if (changed && election.pushesChanges(running())) {
            core.peerGossip().pushChanges(before);
        }
    }

    private void scheduleCall(Runnable task, long delayMs) {
        nextCall = Optional.of(core.schedule(task, delayMs));
    }

    private void watch(long waitMs) {
        call(StoreProtocol.watchTarget(StoreProtocol.ALL_KEYS, watchFrom, waitMs), waitMs, this::onChanges);
    }

    private void onChanges(int status, byte[] body) {
        boolean newEra = watchFrom.era() < era && status == OK;
        if (newEra || status == StoreProtocol.STATUS_HISTORY_COMPACTED) {
            core.log().notice("history-dropped", "revision", watchFrom, "newEra", watchFrom.era() < era);
            onSuccess();
            list("");
            return;
        }
        if (status != OK) {
            onFailure("watch returned status " + status);
            return;
        }
        try {
            StoreProtocol.Changes changes = StoreProtocol.decodeChanges(body, era);
            boolean regained = failingSinceMs >= 0;
            onSuccess();
            List<CatalogItem> relevant = changes.changes().stream()
                    .filter(item -> StoreItemDecoder.isRelevant(item.key()))
                    .toList();
            List<CatalogEvent> events = core.catalog().apply(relevant, core.nowMs());
            core.confirmation().recordStoreAnswer(core.nowMs());
            core.applyCatalogEvents(events, "store");
            StoreVersion before = watchFrom;
            watchFrom = StoreVersion.max(watchFrom, changes.version());
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
        AnswerEra answerEra = new AnswerEra();
        ResponseCollector collector = new ResponseCollector(
                core,
                waitMs + RESPONSE_TIMEOUT_MS,
                MAX_RESPONSE_BYTES,
                answerEra::onHead,
                (status, body) -> onAnswer(answerEra.orCurrent(), status, body, onResponse),
                failure -> onFailure(failure.reason()));
        currentCall = Optional.of(collector);
        collector.send(store, request, Unpooled.EMPTY_BUFFER, OPTIONS);
    }

    /** Any answer may be the first one of a new era, refusals included, and a late one may be of an earlier era. */
    private void onAnswer(long answerEra, int status, byte[] body, BiConsumer<Integer, byte[]> onResponse) {
        if (answerEra < era) {
            core.metrics().recordOutdatedEra();
            core.log().notice("store-answer-ignored", "era", answerEra, "current", era, "status", status);
            onFailure("answer of era " + answerEra);
            return;
        }
        noticeEra(answerEra, "store");
        onResponse.accept(status, body);
    }

    /** The era that the head of an answer names; a store that names none stays in its era. */
    private final class AnswerEra {
        private OptionalLong named = OptionalLong.empty();

        void onHead(HttpResponse head) {
            named = HeaderDecoder.decodeEra(head.headers().get(PlatformHeaders.STORE_ERA));
        }

        long orCurrent() {
            return named.orElse(era);
        }
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
        scheduleCall(this::resume, waiting ? 0 : RETRY_DELAY_MS);
    }

    private void resume() {
        if (watchFrom.equals(StoreVersion.NONE) || watchFrom.era() < era) {
            list("");
        } else {
            watch(0);
        }
    }
}
