#pragma once

// The calls into the log module, which stands beside the binary and is loaded at the
// first line. Only the module is linked with glog: glog keeps 30 KB for each thread
// of a process that it is linked with, also of threads that never log, and of a
// loaded module only for those that do. A build may link it all the same.

extern "C" {

// Starts glog. Writes to files in the folder, or to standard error where it is empty, or to
// standard output where that is asked for by 1.
void nutmegtideLogStart(const char *folder, int toStandardOutput);

// Writes one line of a LogLevel. Thread-safe.
void nutmegtideLogWrite(int level, const char *line);
}
