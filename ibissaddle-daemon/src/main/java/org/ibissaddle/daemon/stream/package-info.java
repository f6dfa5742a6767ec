/** Model calls: streamed responses with recovery, JSON responses, and quarantine of requests after engine crashes. */
package org.ibissaddle.daemon.stream;
