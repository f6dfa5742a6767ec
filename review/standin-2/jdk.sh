# Finds a JDK 21 or newer in JAVA_HOME or the usual folders, as ./run does, and sets JAVA_HOME. Sourced by the scripts.
for home in "${JAVA_HOME:-}" /usr/lib/jvm/* /usr/java/* /opt/java/* "$HOME"/.sdkman/candidates/java/*; do
  [ -n "$home" ] && [ -x "$home/bin/javac" ] || continue
  major=$("$home/bin/java" -version 2>&1 | sed -n 's/^[^ ]* version "\([0-9]*\).*/\1/p')
  [ "${major:-0}" -ge 21 ] || continue
  JAVA_HOME=$home
  export JAVA_HOME
  return 0
done
echo "no JDK 21 or newer found" >&2
return 1
