package org.ibissaddle.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** In-memory platform for tests: versioned configuration values, versioned fleet lists and read counts. */
final class PlatformModel {
    private final Map<String, List<Version>> values = new TreeMap<>();
    private final List<ListVersion> lists = new ArrayList<>();
    private final Map<Long, Integer> readsBySecond = new TreeMap<>();
    boolean down;
    long delayMs = 2;

    record Version(long atMs, long revision, String text) {}

    record ListVersion(long atMs, FleetList list) {}

    void publish(String name, String text, long nowMs) {
        List<Version> versions = values.computeIfAbsent(name, n -> new ArrayList<>());
        versions.add(new Version(nowMs, versions.size() + 1, text));
    }

    void publish(List<ListEntry> entries, long nowMs) {
        lists.add(new ListVersion(nowMs, new FleetList(lists.size() + 1, entries)));
    }

    Optional<Version> value(String name, long asOfMs) {
        Optional<Version> newest = Optional.empty();
        for (Version version : values.getOrDefault(name, List.of())) {
            if (version.atMs() <= asOfMs) {
                newest = Optional.of(version);
            }
        }
        return newest;
    }

    FleetList list(long asOfMs) {
        FleetList newest = new FleetList(0, List.of());
        for (ListVersion version : lists) {
            if (version.atMs() <= asOfMs) {
                newest = version.list();
            }
        }
        return newest;
    }

    void countRead(long nowMs) {
        readsBySecond.merge(nowMs / 1_000, 1, Integer::sum);
    }

    int peakReadsPerSecond(long fromMs) {
        return readsBySecond.entrySet().stream()
                .filter(entry -> entry.getKey() >= fromMs / 1_000)
                .mapToInt(Map.Entry::getValue)
                .max()
                .orElse(0);
    }

    double readsPerSecond(long fromMs, long toMs) {
        int reads = readsBySecond.entrySet().stream()
                .filter(entry -> entry.getKey() >= fromMs / 1_000 && entry.getKey() < toMs / 1_000)
                .mapToInt(Map.Entry::getValue)
                .sum();
        return reads * 1_000.0 / (toMs - fromMs);
    }
}
