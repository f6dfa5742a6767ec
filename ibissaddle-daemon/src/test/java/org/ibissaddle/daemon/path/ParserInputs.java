package org.ibissaddle.daemon.path;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;
import org.ibissaddle.daemon.settings.SettingsException;
import org.ibissaddle.daemon.settings.SettingsReader;
import org.ibissaddle.membership.Gossip;
import org.ibissaddle.membership.GossipCodec;
import org.ibissaddle.membership.ListAnswer;
import org.ibissaddle.membership.ListRequest;
import org.ibissaddle.membership.MessageRejectedException;
import org.ibissaddle.membership.NoteAnswer;
import org.ibissaddle.membership.NoteRequest;
import org.ibissaddle.note.NoteReader;
import org.ibissaddle.note.NoteRejectedException;
import org.ibissaddle.note.NoteWriter;
import org.ibissaddle.note.ReleaseNote;
import org.ibissaddle.outcome.RefusedException;
import org.ibissaddle.stream.PieceId;
import org.ibissaddle.stream.StreamTokens;
import org.ibissaddle.ticket.DeploymentKey;
import org.ibissaddle.ticket.TicketException;
import org.ibissaddle.ticket.Tickets;
import org.ibissaddle.timeline.Stamp;
import org.ibissaddle.timeline.TimelineFormatException;
import org.ibissaddle.timeline.TimelineJson;

/** Every parser that faces a network or an operator, with a valid input to mutate. */
enum ParserInputs {
    SETTINGS(example("cooperative/ub-1-a.ini")) {
        @Override
        void parse(byte[] input) {
            try {
                SettingsReader.read("fuzz", text(input));
            } catch (SettingsException e) {
                require(!e.faults().isEmpty(), "a refusal names no fault");
            }
        }
    },
    NOTE(example("cooperative/note.ini")) {
        @Override
        void parse(byte[] input) {
            try {
                ReleaseNote note = NoteReader.read(text(input));
                require(NoteReader.read(NoteWriter.write(note)).equals(note), "a note changes when it is written");
            } catch (NoteRejectedException e) {
                require(!e.getMessage().isBlank(), "a refusal names no fault");
            }
        }
    },
    MODEL_CALL(
            "{\"model\":\"m\",\"stream\":true,\"max_tokens\":5,\"messages\":[{\"role\":\"user\",\"content\":\"a\"}]}") {
        @Override
        void parse(byte[] input) {
            try {
                ModelCall call = ModelCallReader.read(input);
                require(call.maxTokens() > 0, "a call asks for no token");
            } catch (RefusedException e) {
                require(e.refusal().type().status() == 400, "a malformed call is not refused as such");
            }
        }
    },
    TICKET("AQx1Yi0xLWEAAAABAAAAAgAAAAMEbGVkZ2VyAAAAAAAA.c2lnbmF0dXJl") {
        @Override
        void parse(byte[] input) {
            try {
                Tickets.signedWith(KEY).read(text(input));
                throw new AssertionError("a ticket without a valid signature was accepted");
            } catch (TicketException e) {
                require(!e.getMessage().isBlank(), "a refusal names no fault");
            }
        }
    },
    STREAM_TOKEN("AQx1Yi0xLWEAAAABAAAAAgAAAAMEbGVkZ2VyAAAAAAAA.c2lnbmF0dXJl") {
        @Override
        void parse(byte[] input) {
            try {
                new StreamTokens(KEY).read(text(input));
                throw new AssertionError("a stream token without a valid signature was accepted");
            } catch (TicketException e) {
                require(!e.getMessage().isBlank(), "a refusal names no fault");
            }
        }
    },
    GOSSIP("{\"f\":{\"i\":\"ub-1-a\"},\"n\":{},\"l\":{},\"a\":5,\"m\":[],\"s\":[],\"d\":[],\"p\":[]}") {
        @Override
        void parse(byte[] input) {
            for (Class<?> type :
                    List.of(Gossip.class, NoteRequest.class, NoteAnswer.class, ListRequest.class, ListAnswer.class)) {
                try {
                    GossipCodec.decode(input, type);
                } catch (MessageRejectedException e) {
                    require(!e.getMessage().isBlank(), "a refusal names no fault");
                }
            }
        }
    },
    TIMELINE("{\"origin\":{\"instance\":\"a\",\"incarnation\":\"1-2\",\"region\":\"n\",\"zone\":\"z\"},\"next\":1,"
            + "\"entries\":[]}") {
        @Override
        void parse(byte[] input) {
            try {
                TimelineJson.read(text(input));
            } catch (TimelineFormatException e) {
                require(e.getMessage().contains("time line"), "a refusal does not name the thing");
            }
        }
    },
    STAMP_AND_PIECE("loyw3v28.a") {
        @Override
        void parse(byte[] input) {
            Stamp.parse(text(input))
                    .ifPresent(stamp -> require(
                            Stamp.parse(stamp.toString()).orElseThrow().equals(stamp),
                            "a stamp changes when it is written"));
            PieceId.parse(text(input));
        }
    };

    private static final DeploymentKey KEY =
            DeploymentKey.of("a-key-for-fuzzing-only-1".getBytes(StandardCharsets.UTF_8));
    private static final int MAX_EDITS = 6;
    private static final int MAX_RANDOM_BYTES = 200;
    private static final String[] TOKENS = {
        "{",
        "}",
        "[",
        "]",
        "\"",
        ":",
        ",",
        "null",
        "-1",
        "1e999",
        "\n[note]\n",
        "=",
        ";",
        "\\u0000",
        "\\",
        "${x}",
        "99999999999999999999",
        "\n",
        "\u0000",
        "..",
        "home = ",
        "true"
    };

    private final String valid;

    ParserInputs(String valid) {
        this.valid = valid;
    }

    /** Parses an input; throws only when the parser breaks its contract. */
    abstract void parse(byte[] input);

    /** Makes an input: random bytes, or the valid input with a few edits. */
    byte[] input(SplittableRandom random) {
        if (random.nextInt(4) == 0) {
            byte[] noise = new byte[random.nextInt(MAX_RANDOM_BYTES)];
            random.nextBytes(noise);
            return noise;
        }
        StringBuilder text = new StringBuilder(valid);
        for (int edits = 1 + random.nextInt(MAX_EDITS); edits > 0; edits--) {
            edit(text, random);
        }
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static void edit(StringBuilder text, SplittableRandom random) {
        int from = random.nextInt(text.length() + 1);
        int to = Math.min(text.length(), from + random.nextInt(12));
        switch (random.nextInt(4)) {
            case 0 -> text.delete(from, to);
            case 1 -> text.insert(from, TOKENS[random.nextInt(TOKENS.length)]);
            case 2 -> text.insert(random.nextInt(text.length() + 1), text.substring(from, to));
            default -> text.replace(from, to, String.valueOf((char) random.nextInt(0x250)));
        }
    }

    private static String text(byte[] input) {
        return new String(input, StandardCharsets.UTF_8);
    }

    private static void require(boolean holds, String otherwise) {
        if (!holds) {
            throw new AssertionError(otherwise);
        }
    }

    private static String example(String name) {
        try {
            return Files.readString(Path.of("..", "examples").resolve(name));
        } catch (java.io.IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }
}
