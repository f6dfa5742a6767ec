import java.util.Map;

/** Entry point of the scripts: runs one case for 115 s at most. */
final class Case {
    private static final int CANNOT_RUN = 2;
    private static final long MAX_MS = 115_000;

    interface Play {
        /** Returns whether the rule was broken. */
        boolean run(Kit kit, boolean trouble) throws Exception;
    }

    private static final Map<String, Play> CASES = Map.of("LargeBodies", LargeBodies::play, "RollingRestart", RollingRestart::play);

    public static void main(String[] args) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = CANNOT_RUN;
        try (Kit kit = new Kit(args[1])) {
            Thread.ofPlatform().daemon().start(() -> {
                try {
                    Thread.sleep(MAX_MS);
                } catch (InterruptedException e) {
                    return;
                }
                System.err.println("the case has not ended in time");
                kit.close();
                Runtime.getRuntime().halt(CANNOT_RUN);
            });
            Runtime.getRuntime().addShutdownHook(new Thread(kit::killAll));
            code = CASES.get(args[0]).run(kit, trouble) ? 1 : 0;
        } catch (Throwable e) {
            e.printStackTrace();
        }
        System.exit(code);
    }
}
