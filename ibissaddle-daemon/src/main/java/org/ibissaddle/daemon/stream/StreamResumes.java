package org.ibissaddle.daemon.stream;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import okhttp3.Call;
import okhttp3.Request;
import okhttp3.Response;
import org.ibissaddle.daemon.backend.StreamClient.Resumed;
import org.ibissaddle.daemon.caller.CallerReply;
import org.ibissaddle.daemon.caller.CallerRequest;
import org.ibissaddle.daemon.caller.RefusalJson;
import org.ibissaddle.daemon.caller.RequestHead;
import org.ibissaddle.daemon.path.Headers;
import org.ibissaddle.fleet.InstanceView;
import org.ibissaddle.fleet.ServerView;
import org.ibissaddle.note.Workspace;
import org.ibissaddle.outcome.Fate;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;
import org.ibissaddle.outcome.RefusedException;
import org.ibissaddle.placement.Placement;
import org.ibissaddle.placement.Work;
import org.ibissaddle.stream.AnswerGuard;
import org.ibissaddle.stream.Recovery;
import org.ibissaddle.stream.StreamRecovery;
import org.ibissaddle.stream.StreamToken;
import org.ibissaddle.ticket.TicketException;

/** Reads answers on for callers whose entry instance was lost. */
public final class StreamResumes {
    private static final String PATH = "/v1/streams";
    private static final String LAST_EVENT = "Last-Event-ID";

    private final ModelContext context;

    /**
     * Creates the service.
     *
     * @param context what model calls share
     */
    public StreamResumes(ModelContext context) {
        this.context = context;
    }

    /**
     * Tells whether a call resumes a stream.
     *
     * @param head start line and header fields
     * @return whether this class serves it
     */
    public static boolean covers(RequestHead head) {
        return head.method().equals("GET") && head.path().equals(PATH);
    }

    /**
     * Serves a call.
     *
     * @param request the request
     * @param workspace its workspace, which this region may serve
     * @param reply the way back
     * @throws RefusedException when the stream cannot be read on
     * @throws IOException when the caller is gone
     */
    public void serve(CallerRequest request, Workspace workspace, CallerReply reply)
            throws RefusedException, IOException {
        String text = request.head().header(LAST_EVENT).orElse("");
        StreamToken token = token(text, workspace);
        boolean forwarded = request.head().header(Headers.HOP).isPresent();
        Target target =
                target(token, forwarded).orElseThrow(() -> refused("server " + token.server() + " is not known here"));
        if (!target.peer()) {
            context.claims().claim(text, token);
        }
        new Session(token, text, workspace, target, reply).run();
    }

    private StreamToken token(String text, Workspace workspace) throws RefusedException {
        try {
            StreamToken token = context.tokens().read(text);
            if (!token.workspace().equals(workspace.id())) {
                throw refused("the stream belongs to another workspace");
            }
            return token;
        } catch (TicketException e) {
            throw refused(e.getMessage());
        }
    }

    private Optional<Target> target(StreamToken token, boolean forwarded) {
        for (ServerView server : context.state().fleet().servers()) {
            if (server.id().equals(token.server())) {
                return Optional.of(Target.of(server, new Placement.Serve(server)));
            }
        }
        Optional<InstanceView> peer = context.state().fleet().peer(token.instance());
        return forwarded ? Optional.empty() : peer.map(one -> Target.of(one, new Placement.Forward(one)));
    }

    private static RefusedException refused(String message) {
        return new RefusedException(Refusal.of(RefusalType.UNKNOWN_STREAM, message, Fate.UNKNOWN));
    }

    /** The rest of one answer. */
    private final class Session {
        private final StreamToken token;
        private final String text;
        private final Work work;
        private final Target target;
        private final CallerReply reply;
        private final AnswerGuard guard;
        private final AtomicReference<Call> call = new AtomicReference<>();
        private Optional<String> lastId = Optional.empty();

        Session(StreamToken token, String text, Workspace workspace, Target target, CallerReply reply) {
            this.token = token;
            this.text = text;
            this.target = target;
            this.reply = reply;
            this.work = new Work(
                    token.request(),
                    workspace,
                    new org.ibissaddle.id.PoolId("resumed"),
                    Optional.empty(),
                    workspace.priority(),
                    token.deadlineMs(),
                    0,
                    0,
                    java.util.List.of(),
                    java.util.Set.of(),
                    java.util.List.of());
            this.guard = AnswerGuard.resumed(token.request(), token.attempt(), token.offset());
        }

        void run() throws RefusedException, IOException {
            reply.onGone(this::callerGone);
            StreamRecovery recovery = new StreamRecovery(
                    guard, token.deadlineMs(), context.budgets().of(work.pool()));
            Recovery next = recovery.afterCut(target.id(), context.clock().nowMs());
            while (next instanceof Recovery.Resume resume) {
                Resumed resumed = context.engines().resume(request(resume.offset()), call::set);
                if (resumed instanceof Resumed.Streaming streaming && relay(streaming.response())) {
                    reply.end();
                    return;
                }
                long nowMs = context.clock().nowMs();
                next = resumed instanceof Resumed.Unknown
                        ? recovery.afterLoss(target.id(), nowMs)
                        : recovery.afterCut(target.id(), nowMs);
            }
            endWithError();
        }

        private boolean relay(Response response) throws IOException {
            if (!reply.started()) {
                Map<String, String> headers = new LinkedHashMap<>();
                headers.put("content-type", "text/event-stream");
                headers.put(Headers.REQUEST_ID, token.request().name());
                headers.put(Headers.INSTANCE, context.settings().instance().name());
                headers.put(Headers.SERVER, token.server().name());
                reply.start(200, headers);
            }
            EventRelay.Ids ids = target.peer()
                    ? EventIds.ofPeer(guard, work, context.tokens())
                    : EventIds.ofEngine(context.settings().instance(), target, work, guard, context.tokens());
            EventRelay relay = new EventRelay(guard, ids, reply, () -> {});
            EventRelay.End end = relay.relay(response);
            lastId = relay.lastId().or(() -> lastId);
            return end == EventRelay.End.COMPLETE;
        }

        private Request request(long offset) {
            EngineRequests requests =
                    new EngineRequests(context.settings(), context.state().recorder(), work, PATH, new byte[0]);
            return requests.resume(target, offset, lastId.or(() -> Optional.of(text)));
        }

        private void endWithError() throws RefusedException, IOException {
            Refusal refusal = Refusal.of(
                    RefusalType.ANSWER_CUT, "server " + token.server() + " no longer has the stream", Fate.RAN);
            if (!reply.started()) {
                throw new RefusedException(refusal);
            }
            String data = new String(RefusalJson.encode(refusal), StandardCharsets.UTF_8);
            reply.piece(("event: error\ndata: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
            reply.end();
        }

        private void callerGone() {
            Optional.ofNullable(call.get()).ifPresent(Call::cancel);
            if (!target.peer()) {
                context.claims().cancelUnlessClaimed(target, token.request());
            }
        }
    }
}
