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
import org.ibissaddle.platform.MalformedMessageException;
import org.ibissaddle.platform.StoreItemDecoder;
import org.ibissaddle.platform.StoreProtocol;

/**
 * Watches the platform's store: lists all items once, then watches for changes, and lists again when the store no
 * longer has the history. The store may end a waiting watch at any time, which is not an outage: a call that does not
 * wait then finds out whether the store responds.
 */
final class StoreWatcher {
    /** Maximum duration of one watch call, milliseconds; bounds the time until a dead connection is detected. */
    private static final long WATCH_TIMEOUT_MS = 2_000;
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
    private final List<CatalogItem> listedItems = new ArrayList<>();
    private long listRevision;
    private long watchFrom;
    private long responseDueMs;
    private long failingSinceMs = -1;

    StoreWatcher(GatewayCore core) {
        this.core = core;
        this.store = new Endpoint("store", core.settings().storeAddress());
    }

    void start() {
        list("");
    }

    /** Whether the store is reachable: calls to it have not failed for {@link #MIN_OUTAGE_MS} or longer. */
    boolean isReachable() {
        return failingSinceMs < 0 || core.nowMs() - failingSinceMs < MIN_OUTAGE_MS;
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
            watchFrom = listRevision;
            watch();
        } catch (MalformedMessageException e) {
            onFailure("list: " + e.getMessage());
        }
    }

    private void watch() {
        GatewaySettings.Revocation revocation = core.settings().platformLimits().revocation();
        watch(revocation.strict() ? Math.min(WATCH_TIMEOUT_MS, revocation.revokeMs() / 2) : WATCH_TIMEOUT_MS);
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
            watchFrom = Math.max(watchFrom, changes.revision());
            core.schedule(this::watch, changes.changes().isEmpty() && !regained ? 0 : WATCH_DELAY_MS);
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
