import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** The platform's store: one list of items, a history of changes, and watches that wait. */
final class Store {
    private record Item(String key, String value, long revision, long created) {
        String json() {
            return value == null
                    ? "{\"key\":\"" + key + "\",\"revision\":" + revision + ",\"removed\":true}"
                    : "{\"key\":\"" + key + "\",\"value\":\"" + value + "\",\"revision\":" + revision
                            + ",\"created\":" + created + ",\"lease\":0}";
        }
    }

    /** One address of the store; while it refuses, its callers get 503, which says that nothing was done. */
    final class Door {
        volatile boolean refuses;

        Door(String host, int port) throws IOException {
            Http.serve(host, port, (request, out, socket) -> handle(this, request, out, socket));
        }
    }

    private final Map<String, Item> items = new TreeMap<>();
    private final List<Item> history = new ArrayList<>();
    private long revision = 100;

    synchronized long put(String key, String value) {
        revision++;
        String base64 = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
        Item before = items.get(key);
        Item item = new Item(key, base64, revision, before == null ? revision : before.created());
        items.put(key, item);
        history.add(item);
        notifyAll();
        return revision;
    }

    synchronized void remove(String key) {
        revision++;
        items.remove(key);
        history.add(new Item(key, null, revision, 0));
        notifyAll();
    }

    private boolean handle(Door door, Http.Message request, OutputStream out, Socket socket) throws Exception {
        String[] target = request.target().split("\\?", 2);
        Map<String, String> query = new TreeMap<>();
        if (target.length > 1) {
            for (String pair : target[1].split("&")) {
                String[] parts = pair.split("=", 2);
                query.put(parts[0], URLDecoder.decode(parts.length > 1 ? parts[1] : "", StandardCharsets.UTF_8));
            }
        }
        if (door.refuses) {
            Http.answer(out, 503, List.of(), "{}");
            return true;
        }
        String prefix = query.getOrDefault("pathPrefix", "");
        List<String> json = List.of("Content-Type: application/json");
        if (target[0].equals("/kv-range")) {
            synchronized (this) {
                String all = items.values().stream()
                        .filter(item -> item.key().startsWith(prefix))
                        .filter(item -> item.key().compareTo(query.getOrDefault("after", "")) > 0)
                        .map(Item::json)
                        .collect(Collectors.joining(","));
                Http.answer(out, 200, json, "{\"items\":[" + all + "],\"hasMore\":false,\"at\":" + revision + "}");
            }
            return true;
        }
        if (target[0].equals("/kv-watch")) {
            long after = Long.parseLong(query.get("after"));
            long untilMs = System.currentTimeMillis() + Long.parseLong(query.getOrDefault("waitMs", "0"));
            String events;
            long at;
            synchronized (this) {
                while (revision <= after && System.currentTimeMillis() < untilMs && !door.refuses) {
                    wait(Math.max(1, Math.min(100, untilMs - System.currentTimeMillis())));
                }
                events = history.stream()
                        .filter(item -> item.revision() > after)
                        .map(Item::json)
                        .collect(Collectors.joining(","));
                at = revision;
            }
            if (door.refuses) {
                Http.answer(out, 503, List.of(), "{}");
                return true;
            }
            Http.answer(out, 200, json, "{\"events\":[" + events + "],\"at\":" + at + "}");
            return true;
        }
        Http.answer(out, 404, List.of(), "{}");
        return true;
    }
}
