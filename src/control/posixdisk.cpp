#include "control/posixdisk.h"

#include <cerrno>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sys/file.h>
#include <system_error>
#include <unistd.h>

namespace nutmegtide {

namespace {

constexpr mode_t FileMode = 0600;

[[noreturn]] void fail(const std::string &what)
{
    const int error = errno;
    const std::string message = what + ": " + std::generic_category().message(error);
    if (error == ENOSPC || error == EDQUOT)
        throw DiskFullError(message);
    throw LogStorageError(message);
}

void check(int result, const std::string &what)
{
    if (result < 0)
        fail(what);
}

} // namespace

PosixDisk::PosixDisk(std::string folder)
    : m_folder(std::move(folder))
{
    std::error_code error;
    std::filesystem::create_directories(m_folder, error);
    if (error)
        throw LogStorageError(m_folder + ": " + error.message());
    m_lock = ::open(path("lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, FileMode);
    check(m_lock, path("lock"));
    if (::flock(m_lock, LOCK_EX | LOCK_NB) < 0) {
        ::close(m_lock);
        throw LogStorageError(m_folder + " is in use by another process");
    }
}

PosixDisk::~PosixDisk()
{
    for (const auto &[file, descriptor] : m_descriptors)
        ::close(descriptor);
    ::close(m_lock);
}

bool PosixDisk::exists(const std::string &file) const
{
    return std::filesystem::exists(path(file));
}

std::string PosixDisk::read(const std::string &file) const
{
    return read(file, 0, size(file));
}

std::string PosixDisk::read(const std::string &file, std::uint64_t offset, std::size_t length) const
{
    std::ifstream in(path(file), std::ios::binary);
    in.seekg(static_cast<std::streamoff>(offset));
    std::string bytes(length, '\0');
    in.read(bytes.data(), static_cast<std::streamsize>(length));
    if (in.bad() || !in.is_open())
        throw LogStorageError(path(file) + " can't be read");
    bytes.resize(static_cast<std::size_t>(in.gcount()));
    return bytes;
}

std::uint64_t PosixDisk::size(const std::string &file) const
{
    std::error_code error;
    const std::uintmax_t size = std::filesystem::file_size(path(file), error);
    if (error)
        throw LogStorageError(path(file) + ": " + error.message());
    return size;
}

int PosixDisk::descriptorFor(const std::string &file)
{
    const auto found = m_descriptors.find(file);
    if (found != m_descriptors.end())
        return found->second;
    const int descriptor = ::open(path(file).c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
                                  FileMode);
    check(descriptor, path(file));
    m_descriptors[file] = descriptor;
    return descriptor;
}

void PosixDisk::close(const std::string &file)
{
    const auto found = m_descriptors.find(file);
    if (found == m_descriptors.end())
        return;
    ::close(found->second);
    m_descriptors.erase(found);
}

void PosixDisk::append(const std::string &file, const std::string &bytes)
{
    const int descriptor = descriptorFor(file);
    std::size_t done = 0;
    while (done < bytes.size()) {
        const ssize_t written = ::write(descriptor, bytes.data() + done, bytes.size() - done);
        if (written < 0 && errno == EINTR)
            continue;
        check(static_cast<int>(written < 0 ? -1 : 0), path(file));
        done += static_cast<std::size_t>(written);
    }
}

void PosixDisk::truncate(const std::string &file, std::uint64_t size)
{
    check(::ftruncate(descriptorFor(file), static_cast<off_t>(size)), path(file));
}

void PosixDisk::sync(const std::string &file)
{
    check(::fdatasync(descriptorFor(file)), path(file));
}

void PosixDisk::rename(const std::string &from, const std::string &to)
{
    close(from);
    close(to);
    check(::rename(path(from).c_str(), path(to).c_str()), path(from));
}

void PosixDisk::remove(const std::string &file)
{
    close(file);
    check(::unlink(path(file).c_str()), path(file));
}

void PosixDisk::syncFolder()
{
    const int descriptor = ::open(m_folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    check(descriptor, m_folder);
    const int result = ::fsync(descriptor);
    ::close(descriptor);
    check(result, m_folder);
}

} // namespace nutmegtide
