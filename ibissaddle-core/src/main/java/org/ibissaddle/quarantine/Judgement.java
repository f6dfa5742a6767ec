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
     * Judges all marked requests. A request that was marked before and then was in flight alone at a crash is refused;
     * its crashes are explained and no longer count against others. So is one that is left with too many crashes.
     */
    static Map<Fingerprint, Judgement> of(Collection<Mark> marks, int maxCrashes) {
        Map<Crash, List<Mark>> byCrash = new HashMap<>();
        marks.forEach(mark -> byCrash.computeIfAbsent(mark.crash(), crash -> new ArrayList<>())
                .add(mark));
        Set<Fingerprint> refused = new HashSet<>();
        for (List<Mark> atCrash : byCrash.values()) {
            if (atCrash.size() == 1 && atCrash.get(0).suspect()) {
                refused.add(atCrash.get(0).request());
            }
        }
        Map<Fingerprint, List<Mark>> byRequest = unexplained(marks, refused);
        byRequest.forEach((request, own) -> {
            if (own.size() >= maxCrashes) {
                refused.add(request);
            }
        });
        return judge(unexplained(marks, refused), refused);
    }

    private static Map<Fingerprint, List<Mark>> unexplained(Collection<Mark> marks, Set<Fingerprint> refused) {
        Set<Crash> explained = new HashSet<>();
        marks.stream().filter(mark -> refused.contains(mark.request())).forEach(mark -> explained.add(mark.crash()));
        Map<Fingerprint, List<Mark>> byRequest = new HashMap<>();
        for (Mark mark : marks) {
            if (refused.contains(mark.request()) || !explained.contains(mark.crash())) {
                byRequest
                        .computeIfAbsent(mark.request(), request -> new ArrayList<>())
                        .add(mark);
            }
        }
        return byRequest;
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
