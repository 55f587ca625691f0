#include "control/logrecords.h"

#include "control/bytes.h"

#include <algorithm>
#include <xxhash.h>

namespace nutmegtide {

namespace {

enum class RecordType : std::uint32_t {
    Folder = 1,
    Snapshot = 2,
    Vote = 3,
    Entry = 4,
    Truncate = 5,
};

constexpr std::size_t HeaderSize = 16; // length, type, checksum of both
constexpr std::size_t ChecksummedHeader = 8; // length, type
constexpr std::size_t TrailerSize = 9; // checksum of the body, end byte
constexpr std::size_t SectorSize = 512; // the unit that a disk writes completely or not at all
constexpr char EndByte = '\xa5';
constexpr std::size_t BlockSize = 256 * 1024; // bytes that are read at once

std::uint64_t checksum(std::string_view bytes, RecordType type)
{
    return XXH64(bytes.data(), bytes.size(), static_cast<std::uint64_t>(type));
}

std::string makeRecord(RecordType type, const std::string &body)
{
    ByteWriter header;
    header.number(static_cast<std::uint32_t>(body.size()));
    header.number(static_cast<std::uint32_t>(type));
    header.number(checksum(header.bytes(), RecordType {}));
    ByteWriter trailer;
    trailer.number(checksum(body, type));
    return header.bytes() + body + trailer.bytes() + EndByte;
}

bool isZero(std::string_view bytes)
{
    return std::all_of(bytes.begin(), bytes.end(), [](char byte) { return byte == 0; });
}

// A file of which one block is in memory.
class FileBlocks
{
public:
    FileBlocks(std::uint64_t size, const ReadBytes &readBytes)
        : m_size(size)
        , m_readBytes(readBytes)
    { }

    std::uint64_t size() const { return m_size; }
    // Returns bytes within the file; valid until the next call.
    std::string_view bytes(std::uint64_t offset, std::size_t length)
    {
        if (offset < m_begin || offset + length > m_begin + m_block.size())
            readBlock(offset, length);
        return std::string_view(m_block).substr(offset - m_begin, length);
    }
    // Returns whether the file holds only zeros from `begin` to `end`.
    bool isZero(std::uint64_t begin, std::uint64_t end)
    {
        while (begin < end) {
            const std::size_t length = std::min<std::uint64_t>(BlockSize, end - begin);
            if (!nutmegtide::isZero(bytes(begin, length)))
                return false;
            begin += length;
        }
        return true;
    }

private:
    void readBlock(std::uint64_t offset, std::size_t length)
    {
        const std::uint64_t wanted = std::max(length, BlockSize);
        m_block = m_readBytes(offset, std::min(wanted, m_size - offset));
        m_begin = offset;
        if (m_block.size() < length)
            throw LogStorageError("the control log became shorter while it was read");
    }

    const std::uint64_t m_size;
    const ReadBytes &m_readBytes;
    std::string m_block;
    std::uint64_t m_begin = 0; // offset of m_block in the file
};

// Rebuilds a StoredLog by applying the records of a file in order.
class RecordReader
{
public:
    RecordReader(std::uint64_t size, const ReadBytes &readBytes)
        : m_file(size, readBytes)
    { }

    StoredLog read()
    {
        while (m_offset < m_file.size() && readRecord()) { }
        if (m_stored.folder.empty())
            fail("no folder id at the start");
        m_stored.truncatedBytes = m_file.size() - m_offset;
        return std::move(m_stored);
    }

private:
    [[noreturn]] void fail(const std::string &problem) const
    {
        throw LogCorruptError("control log, byte " + std::to_string(m_offset) + ": " + problem);
    }

    // Returns false at the end of the complete records, where an incomplete write begins.
    bool readRecord()
    {
        const std::uint64_t left = m_file.size() - m_offset;
        if (left < HeaderSize)
            return false;
        const std::string_view start = m_file.bytes(m_offset, HeaderSize);
        if (isZero(start) && m_file.isZero(m_offset, m_file.size()))
            return false;
        const std::string headerBytes(m_file.bytes(m_offset, HeaderSize));
        ByteReader header(headerBytes);
        const auto length = header.number<std::uint32_t>();
        const auto type = static_cast<RecordType>(header.number<std::uint32_t>());
        if (header.number<std::uint64_t>()
            != checksum(std::string_view(headerBytes).substr(0, ChecksummedHeader), RecordType {}))
            fail("altered header");
        const std::size_t recordSize = HeaderSize + length + TrailerSize;
        if (left < recordSize)
            return false;
        const std::string_view record = m_file.bytes(m_offset, recordSize);
        const std::string_view body = record.substr(HeaderSize, length);
        if (!isIntact(record, body, type)) {
            if (isTorn(recordSize))
                return false;
            fail("altered record");
        }
        apply(type, body);
        m_offset += recordSize;
        return true;
    }

    static bool isIntact(std::string_view record, std::string_view body, RecordType type)
    {
        ByteReader trailer(record.substr(HeaderSize + body.size()));
        return trailer.number<std::uint64_t>() == checksum(body, type) && record.back() == EndByte;
    }

    // A crash leaves whole sectors of zeros in the last record, and nothing after that record.
    bool isTorn(std::size_t recordSize)
    {
        const std::uint64_t end = m_offset + recordSize;
        if (!m_file.isZero(end, m_file.size()))
            return false;
        std::uint64_t begin = m_offset;
        while (begin < end) {
            const std::uint64_t next = std::min(end, (begin / SectorSize + 1) * SectorSize);
            if (m_file.isZero(begin, next))
                return true;
            begin = next;
        }
        return false;
    }

    void apply(RecordType type, std::string_view body)
    {
        if ((type == RecordType::Folder) != (m_offset == 0))
            fail("folder id at the wrong place");
        ByteReader reader(body);
        try {
            applyBody(type, reader);
        } catch (const MessageError &fault) {
            fail(fault.what());
        }
        if (!reader.isAtEnd())
            fail("record too long");
    }

    void applyBody(RecordType type, ByteReader &reader)
    {
        switch (type) {
        case RecordType::Folder:
            m_stored.folder = reader.text();
            return;
        case RecordType::Snapshot:
            return applySnapshot(reader);
        case RecordType::Vote:
            return applyVote(reader);
        case RecordType::Entry:
            return applyEntry(reader);
        case RecordType::Truncate:
            return applyTruncate(reader.number<LogIndex>());
        }
        fail("unknown type of record");
    }

    void applySnapshot(ByteReader &reader)
    {
        if (m_stored.snapshot.index != 0 || !m_stored.entries.empty())
            fail("snapshot at the wrong place");
        m_stored.snapshot.index = reader.number<LogIndex>();
        m_stored.snapshot.term = reader.number<RaftTerm>();
        m_stored.snapshot.members = decodeMembers(reader.text());
        m_stored.snapshot.state = reader.text();
    }

    void applyVote(ByteReader &reader)
    {
        VoteRecord vote;
        vote.term = reader.number<RaftTerm>();
        vote.votedFor = VmName(reader.text());
        if (vote.term < m_stored.vote.term)
            fail("term goes back");
        m_stored.vote = std::move(vote);
    }

    LogIndex lastIndex() const { return m_stored.snapshot.index + m_stored.entries.size(); }

    void applyEntry(ByteReader &reader)
    {
        LogEntry entry;
        entry.term = reader.number<RaftTerm>();
        entry.index = reader.number<LogIndex>();
        entry.kind = static_cast<EntryKind>(reader.number<std::uint32_t>());
        entry.payload = reader.text();
        if (entry.index != lastIndex() + 1)
            fail("entry " + std::to_string(entry.index) + " follows " + std::to_string(lastIndex()));
        if (entry.kind == EntryKind::Members)
            decodeMembers(entry.payload);
        m_stored.entries.push_back(std::move(entry));
    }

    void applyTruncate(LogIndex index)
    {
        if (index <= m_stored.snapshot.index || index > lastIndex())
            fail("truncation of an entry that isn't there");
        m_stored.entries.resize(index - m_stored.snapshot.index - 1);
    }

    FileBlocks m_file;
    std::uint64_t m_offset = 0;
    StoredLog m_stored;
};

} // namespace

std::string folderRecord(const std::string &folder)
{
    ByteWriter body;
    body.text(folder);
    return makeRecord(RecordType::Folder, body.bytes());
}

std::string voteRecord(const VoteRecord &vote)
{
    ByteWriter body;
    body.number(vote.term);
    body.text(vote.votedFor.text());
    return makeRecord(RecordType::Vote, body.bytes());
}

std::string snapshotRecord(const LogSnapshot &snapshot)
{
    ByteWriter body;
    body.number(snapshot.index);
    body.number(snapshot.term);
    body.text(encodeMembers(snapshot.members));
    body.text(snapshot.state);
    return makeRecord(RecordType::Snapshot, body.bytes());
}

std::string entryRecord(const LogEntry &entry)
{
    ByteWriter body;
    body.number(entry.term);
    body.number(entry.index);
    body.number(static_cast<std::uint32_t>(entry.kind));
    body.text(entry.payload);
    return makeRecord(RecordType::Entry, body.bytes());
}

std::string truncateRecord(LogIndex index)
{
    ByteWriter body;
    body.number(index);
    return makeRecord(RecordType::Truncate, body.bytes());
}

StoredLog readRecords(std::uint64_t size, const ReadBytes &readBytes)
{
    return RecordReader(size, readBytes).read();
}

StoredLog readRecords(std::string_view file)
{
    return readRecords(file.size(), [file](std::uint64_t offset, std::size_t length) {
        return std::string(file.substr(offset, length));
    });
}

} // namespace nutmegtide
