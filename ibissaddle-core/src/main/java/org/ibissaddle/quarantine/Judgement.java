package org.ibissaddle.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What the marks say of one request.
 *
 * @param refused whether it is refused
 * @param crashes crashes that no refused request explains
 * @param latestMs when it was last marked, epoch milliseconds
 */
record Judgement(boolean refused, int crashes, long latestMs) {
    /**
     * Judges all marked requests. A request that was marked before and then was in flight alone at a crash is refused,
     * and so is one with too many crashes. A crash of a refused request no longer counts against requests with fewer.
     */
    static Map<Fingerprint, Judgement> of(Collection<Mark> marks, int maxCrashes) {
        Map<Crash, List<Mark>> byCrash = new HashMap<>();
        Map<Fingerprint, List<Mark>> byRequest = new HashMap<>();
        for (Mark mark : marks) {
            byCrash.computeIfAbsent(mark.crash(), crash -> new ArrayList<>()).add(mark);
            byRequest
                    .computeIfAbsent(mark.request(), request -> new ArrayList<>())
                    .add(mark);
        }
        Map<Crash, Integer> explained = new HashMap<>();
        Set<Fingerprint> alone = new HashSet<>();
        for (List<Mark> atCrash : byCrash.values()) {
            if (atCrash.size() == 1 && atCrash.get(0).suspect()) {
                alone.add(atCrash.get(0).request());
            }
        }
        byRequest.forEach((request, own) -> {
            if (alone.contains(request) || own.size() >= maxCrashes) {
                own.forEach(mark -> explained.merge(mark.crash(), own.size(), Math::max));
            }
        });
        Map<Fingerprint, List<Mark>> counted = new HashMap<>();
        byRequest.forEach((request, own) -> {
            List<Mark> left = own.stream()
                    .filter(mark -> alone.contains(request) || explained.getOrDefault(mark.crash(), 0) <= own.size())
                    .toList();
            if (!left.isEmpty()) {
                counted.put(request, left);
            }
        });
        Set<Fingerprint> refused = new HashSet<>(alone);
        counted.forEach((request, own) -> {
            if (own.size() >= maxCrashes) {
                refused.add(request);
            }
        });
        return judge(counted, refused);
    }

    private static Map<Fingerprint, Judgement> judge(Map<Fingerprint, List<Mark>> byRequest, Set<Fingerprint> refused) {
        Map<Fingerprint, Judgement> judgements = new HashMap<>();
        byRequest.forEach((request, own) -> {
            long latestMs = own.stream().mapToLong(Mark::atMs).max().orElse(0);
            judgements.put(request, new Judgement(refused.contains(request), own.size(), latestMs));
        });
        return judgements;
    }
}
