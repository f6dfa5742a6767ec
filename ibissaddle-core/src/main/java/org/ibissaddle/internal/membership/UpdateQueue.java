package org.ibissaddle.internal.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiPredicate;

/**
 * Queue of updates for other instances. Each item is sent a bounded number of times and expires after a fixed lifetime.
 *
 * @param <T> type of an item
 */
final class UpdateQueue<T> {
    private static final long LIFETIME_MS = 12_000;

    private final Map<Object, Item<T>> items = new LinkedHashMap<>();

    /** Set of instances that an item is sent to. */
    enum Scope {
        ZONE,
        REGION,
        FLEET
    }

    void put(Object key, T value, Scope scope, int maxSends, long nowMs) {
        items.remove(key);
        items.put(key, new Item<>(value, scope, maxSends, nowMs + LIFETIME_MS));
    }

    /**
     * Takes up to {@code limit} items that the filter accepts. If more are eligible, those with the most remaining
     * sends are preferred.
     */
    List<T> take(int limit, BiPredicate<T, Scope> accepts, long nowMs) {
        items.values().removeIf(item -> item.remainingSends <= 0 || item.expiresAtMs <= nowMs);
        List<Item<T>> eligible = new ArrayList<>();
        for (Item<T> item : items.values()) {
            if (accepts.test(item.value, item.scope)) {
                eligible.add(item);
            }
        }
        if (eligible.size() > limit) {
            eligible.sort(Comparator.comparingInt((Item<T> item) -> -item.remainingSends));
            eligible = eligible.subList(0, limit);
        }
        List<T> updates = new ArrayList<>(eligible.size());
        for (Item<T> item : eligible) {
            item.remainingSends--;
            updates.add(item.value);
        }
        return updates;
    }

    private static final class Item<T> {
        private final T value;
        private final Scope scope;
        private final long expiresAtMs;
        private int remainingSends;

        Item(T value, Scope scope, int remainingSends, long expiresAtMs) {
            this.value = value;
            this.scope = scope;
            this.remainingSends = remainingSends;
            this.expiresAtMs = expiresAtMs;
        }
    }
}
