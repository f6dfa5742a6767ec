package org.ibissaddle.internal.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiPredicate;

/**
 * News on their way to other instances: each item is sent a bounded number of times and then forgotten.
 *
 * @param <T> type of an item
 */
final class NewsQueue<T> {
    private static final long LIFETIME_MS = 12_000;

    private final Map<Object, Item<T>> items = new LinkedHashMap<>();

    /** How far an item travels. */
    enum Scope {
        ZONE,
        REGION,
        FLEET
    }

    void put(Object key, T value, Scope scope, int sends, long nowMs) {
        items.remove(key);
        items.put(key, new Item<>(value, scope, sends, nowMs + LIFETIME_MS));
    }

    /** Takes up to {@code limit} items that may go to a receiver, those sent least often first. */
    List<T> take(int limit, BiPredicate<T, Scope> fits, long nowMs) {
        items.values().removeIf(item -> item.left <= 0 || item.untilMs <= nowMs);
        List<Item<T>> fitting = new ArrayList<>();
        for (Item<T> item : items.values()) {
            if (fits.test(item.value, item.scope)) {
                fitting.add(item);
            }
        }
        if (fitting.size() > limit) {
            fitting.sort(Comparator.comparingInt((Item<T> item) -> -item.left));
            fitting = fitting.subList(0, limit);
        }
        List<T> taken = new ArrayList<>(fitting.size());
        for (Item<T> item : fitting) {
            item.left--;
            taken.add(item.value);
        }
        return taken;
    }

    private static final class Item<T> {
        private final T value;
        private final Scope scope;
        private final long untilMs;
        private int left;

        Item(T value, Scope scope, int left, long untilMs) {
            this.value = value;
            this.scope = scope;
            this.left = left;
            this.untilMs = untilMs;
        }
    }
}
