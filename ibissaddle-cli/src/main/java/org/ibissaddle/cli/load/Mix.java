package org.ibissaddle.cli.load;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Function;
import org.ibissaddle.cli.call.Call;

/** What the callers of a deployment send, and how often each. */
public final class Mix {
    private static final int DOSSIER_CHARS = 6_000;
    private static final int CHAT_CHARS = 400;
    private static final int CASES = 200;

    private final List<Item> items;
    private final double totalWeight;

    private Mix(List<Item> items) {
        this.items = List.copyOf(items);
        this.totalWeight = items.stream().mapToDouble(Item::weight).sum();
    }

    private record Item(double weight, String workspace, String kind, Function<SplittableRandom, Call> call) {}

    /**
     * A request of the mix.
     *
     * @param workspace workspace of its caller
     * @param kind name of its kind
     * @param call the call
     */
    public record Request(String workspace, String kind, Call call) {}

    /**
     * Finds the mix of a deployment.
     *
     * @param name {@code cooperative} or {@code stratka}
     * @return the mix, empty when there is none of that name
     */
    public static Optional<Mix> named(String name) {
        return switch (name) {
            case "cooperative" -> Optional.of(cooperative());
            case "stratka" -> Optional.of(stratka());
            default -> Optional.empty();
        };
    }

    private static Mix cooperative() {
        return new Mix(List.of(
                new Item(35, "members", "dossier", random -> chat(random, "inspector", DOSSIER_CHARS, 60)),
                new Item(15, "darkhan-yard", "bound dossier", random -> chat(random, "inspector", DOSSIER_CHARS, 60)),
                new Item(25, "buyers", "question", random -> chat(random, "inspector", CHAT_CHARS, 20)),
                new Item(20, "buyers", "stock", random -> get("/ledger/stock")),
                new Item(5, "buyers", "purchase", random -> post("/ledger/purchase", random))));
    }

    private static Mix stratka() {
        return new Mix(List.of(
                new Item(45, "families", "case chat", random -> chat(random, "finder", DOSSIER_CHARS, 40)),
                new Item(15, "bratislava-station", "bound chat", random -> chat(random, "finder", DOSSIER_CHARS, 40)),
                new Item(20, "cleaning-crews", "found note", random -> chat(random, "finder", CHAT_CHARS, 20)),
                new Item(15, "families", "case", random -> get("/desk/case")),
                new Item(3, "families", "courier", random -> post("/desk/courier", random)),
                new Item(2, "families", "notice", random -> post("/desk/notice", random))));
    }

    /** Chats share their beginning with others of the same case, so that prefix caches matter. */
    private static Call chat(SplittableRandom random, String model, int chars, int tokens) {
        int file = random.nextInt(CASES);
        String line = "Case " + file + ": length 2.4" + file % 10 + " m, end rot " + file % 7 + " mm.\n";
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
     * Draws a request.
     *
     * @param random source of chance
     * @return the request
     */
    public Request draw(SplittableRandom random) {
        double left = random.nextDouble() * totalWeight;
        for (Item item : items) {
            left -= item.weight();
            if (left < 0) {
                return new Request(item.workspace(), item.kind(), item.call().apply(random));
            }
        }
        Item last = items.get(items.size() - 1);
        return new Request(last.workspace(), last.kind(), last.call().apply(random));
    }
}
