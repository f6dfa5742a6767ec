package org.ibissaddle.cli.load;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Function;
import org.ibissaddle.cli.call.Call;

/** Weighted mix of the requests that the clients of a deployment send. */
public final class WorkloadMix {
    private static final int DOSSIER_CHARS = 6_000;
    private static final int CHAT_CHARS = 400;
    private static final int CASE_COUNT = 200;

    private final List<WeightedRequest> requests;
    private final double totalWeight;

    private WorkloadMix(List<WeightedRequest> requests) {
        this.requests = List.copyOf(requests);
        this.totalWeight =
                requests.stream().mapToDouble(WeightedRequest::weight).sum();
    }

    private record WeightedRequest(
            double weight, String workspace, String kind, Function<SplittableRandom, Call> call) {}

    /**
     * A request sampled from the mix.
     *
     * @param workspace workspace that sends the request
     * @param kind kind of request, for grouping in reports
     * @param call call to send
     */
    public record Request(String workspace, String kind, Call call) {}

    /**
     * Returns the mix of a deployment.
     *
     * @param name {@code cooperative} or {@code stratka}
     * @return the mix, empty when the name is unknown
     */
    public static Optional<WorkloadMix> byName(String name) {
        return switch (name) {
            case "cooperative" -> Optional.of(cooperative());
            case "stratka" -> Optional.of(stratka());
            default -> Optional.empty();
        };
    }

    private static WorkloadMix cooperative() {
        return new WorkloadMix(List.of(
                new WeightedRequest(35, "members", "dossier", random -> chat(random, "inspector", DOSSIER_CHARS, 60)),
                new WeightedRequest(
                        15, "darkhan-yard", "bound dossier", random -> chat(random, "inspector", DOSSIER_CHARS, 60)),
                new WeightedRequest(25, "buyers", "question", random -> chat(random, "inspector", CHAT_CHARS, 20)),
                new WeightedRequest(20, "buyers", "stock", random -> get("/ledger/stock")),
                new WeightedRequest(5, "buyers", "purchase", random -> post("/ledger/purchase", random))));
    }

    private static WorkloadMix stratka() {
        return new WorkloadMix(List.of(
                new WeightedRequest(45, "families", "case chat", random -> chat(random, "finder", DOSSIER_CHARS, 40)),
                new WeightedRequest(
                        15, "bratislava-station", "bound chat", random -> chat(random, "finder", DOSSIER_CHARS, 40)),
                new WeightedRequest(
                        20, "cleaning-crews", "found note", random -> chat(random, "finder", CHAT_CHARS, 20)),
                new WeightedRequest(15, "families", "case", random -> get("/desk/case")),
                new WeightedRequest(3, "families", "courier", random -> post("/desk/courier", random)),
                new WeightedRequest(2, "families", "notice", random -> post("/desk/notice", random))));
    }

    /** Creates a chat whose prompt prefix is shared by all chats of the same case, which exercises prefix caches. */
    private static Call chat(SplittableRandom random, String model, int chars, int tokens) {
        int caseNumber = random.nextInt(CASE_COUNT);
        String line =
                "Case " + caseNumber + ": length 2.4" + caseNumber % 10 + " m, end rot " + caseNumber % 7 + " mm.\n";
        String text = line.repeat(Math.max(1, chars / line.length()));
        return Call.chat(model, text + "Question " + random.nextLong(), tokens);
    }

    private static Call get(String path) {
        return Call.service("GET", path, Optional.empty());
    }

    private static Call post(String path, SplittableRandom random) {
        return Call.service("POST", path, Optional.of("{\"number\":" + random.nextInt() + "}"));
    }

    /**
     * Samples a request according to the weights.
     *
     * @param random random generator
     * @return the request
     */
    public Request sample(SplittableRandom random) {
        double remaining = random.nextDouble() * totalWeight;
        for (WeightedRequest request : requests) {
            remaining -= request.weight();
            if (remaining < 0) {
                return new Request(
                        request.workspace(), request.kind(), request.call().apply(random));
            }
        }
        WeightedRequest last = requests.get(requests.size() - 1);
        return new Request(last.workspace(), last.kind(), last.call().apply(random));
    }
}
