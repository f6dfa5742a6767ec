/** Request parsing, checks before the body is read, and routing of requests to their handlers. */
package org.ibissaddle.daemon.path;
